// Look-up helpers for tables.
#pragma once

#include <cstddef>

namespace petrelrail {

// Returns the element at an index of an integer or enumeration type.
template <class Table, class Index>
auto& at(Table& table, Index index) {
  return table[static_cast<std::size_t>(index)];
}

// Returns a pointer to the value of a key, or null.
template <class Table, class Key>
auto* find_or_null(Table& table, const Key& key) {
  const auto it = table.find(key);
  return it == table.end() ? nullptr : &it->second;
}

}  // namespace petrelrail
