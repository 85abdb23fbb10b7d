#pragma once

#include "core/errors.h"

#include <string>
#include <utility>
#include <variant>

namespace ApricotStep
{

/** An error: its kind, and a sentence that says where it occurred and how to fix it. */
struct Error
{
    ErrorKind kind = ErrorKind::Internal;
    std::string detail;

    std::error_code code() const
    {
        return make_error_code(kind);
    }
};

/** A value, or the error because of which there is none. */
template<typename T>
class Result
{
public:
    Result(T value) // NOLINT(google-explicit-constructor): returned by value like std::optional
        : m_content(std::move(value))
    {
    }
    Result(Error error) // NOLINT(google-explicit-constructor)
        : m_content(std::move(error))
    {
    }

    bool isOk() const
    {
        return std::holds_alternative<T>(m_content);
    }
    /** The value; only valid when isOk(). */
    const T &value() const
    {
        return std::get<T>(m_content);
    }
    T &value()
    {
        return std::get<T>(m_content);
    }
    /** The error; only valid when not isOk(). */
    const Error &error() const
    {
        return std::get<Error>(m_content);
    }

private:
    std::variant<T, Error> m_content;
};

/** Combines several function objects into one visitor for std::visit(). */
template<typename... Visitors>
struct Overloaded : Visitors...
{
    using Visitors::operator()...;
};
template<typename... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

} // namespace ApricotStep
