#pragma once

#include <memory>
#include <string>

// Included by C++14, so the namespaces are opened one by one.
namespace amaranthhall {
namespace peer {

    /// @brief A call as read from its envelope; the parameters are JSON text.
    struct EnvelopeCall {
        bool valid { false };
        std::string method;
        std::string parameters;
        std::string errorResponse; ///< Envelope to send back if the call is not valid.
    };

    /// @brief An answer in its envelope; the result is JSON text.
    struct EnvelopeResponse {
        bool succeeded { false };
        std::string result;
        int code { 0 }; ///< JSON-RPC error code if it failed; 0 if the envelope could not be read.
        std::string message;
    };

    /// @brief JSON-RPC's code for a method that is not served.
    constexpr int methodNotFoundCode = -32601;

    /// @brief Code of an error that a handler reported; the library gives no text of its own to it.
    constexpr int handlerErrorCode = -32050;

    /**
     * @brief Writes a call in a JSON-RPC 2.0 envelope.
     * @param parameters JSON text of an object or array.
     */
    std::string encodeCall(const std::string& method, const std::string& parameters);

    /// @brief Reads an answer from its envelope.
    EnvelopeResponse decodeResponse(const std::string& text);

    /// @brief Reads calls and writes their answers, by libjsonrpccpp.
    class EnvelopeCodec {
    public:
        EnvelopeCodec();
        ~EnvelopeCodec();
        EnvelopeCodec(const EnvelopeCodec&) = delete;
        EnvelopeCodec& operator=(const EnvelopeCodec&) = delete;

        /// @brief Makes a method known.
        void addMethod(const std::string& method);

        /// @brief Reads a call; batches and notifications are refused.
        EnvelopeCall decodeCall(const std::string& text);

        /// @brief Writes the answer to a call that decodeCall() has read.
        std::string encodeResponse(const std::string& requestText, const EnvelopeResponse& answer);

    private:
        class Native;
        std::unique_ptr<Native> native;
    };

}
}
