// Compiles the non-template parts of Boost.Asio and Boost.Beast once, for their separate
// compilation mode.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
