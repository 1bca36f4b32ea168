# The limits that can be checked mechanically: size and line length of the decision module, and no tuned
# constant or decision table outside it.
file(READ ${ROOT}/src/logic.cpp text)
string(REPLACE ";" "," text "${text}")
string(REPLACE "[" "(" text "${text}")
string(REPLACE "]" ")" text "${text}")
string(REPLACE "\\" "/" text "${text}")
string(REPLACE "\n" ";" lines "${text}")
set(count 0)
foreach(line IN LISTS lines)
  string(LENGTH "${line}" length)
  if(length GREATER 110)
    message(SEND_ERROR "src/logic.cpp has a line of ${length} characters: ${line}")
  endif()
  string(STRIP "${line}" bare)
  if(NOT bare STREQUAL "")
    math(EXPR count "${count} + 1")
  endif()
endforeach()
message(STATUS "src/logic.cpp: ${count} lines that are not blank")
if(count GREATER 1200)
  message(SEND_ERROR "src/logic.cpp has ${count} lines that are not blank; 1200 at most")
endif()
if(NOT text MATCHES "^// [^;]*include/petrelrail/gateway.hpp")
  message(SEND_ERROR "the top comment of src/logic.cpp must name the interface file")
endif()

# src/node/facts.hpp is left out: it names the facts of the protocol and the safety limits of the sockets, each
# with its reason, so that the rest of the edge node needs no number of its own.
file(GLOB node_files RELATIVE ${ROOT} ${ROOT}/src/node/*.hpp ${ROOT}/src/node/*.cpp)
list(REMOVE_ITEM node_files src/node/facts.hpp)
if(NOT node_files)
  message(SEND_ERROR "src/node holds no sources to check")
endif()
foreach(file include/petrelrail/gateway.hpp bench/drill.cpp src/settings.cpp src/helpers.hpp
             src/settings_reader.hpp ${node_files})
  file(READ ${ROOT}/${file} other)
  string(REPLACE "HTTP/1.1" "HTTP" other "${other}")  # the protocol's version
  # Named constants, fractions and durations with a value of their own have no place outside the module.
  string(REGEX MATCH "constexpr[^\n]*= *[0-9]|[^0-9a-zA-Z_][0-9]+\\.[1-9]|[1-9][0-9]*(ns|us|ms|s)[^a-zA-Z_0-9]" found "${other}")
  if(found)
    message(SEND_ERROR "${file} holds a number that looks tuned: ${found}")
  endif()
endforeach()
