#pragma once

#include <memory>
#include <string>

// Also included by a C++14 translation unit, so nested namespace definitions cannot be used.
namespace amaranthhall {
namespace peer {

    /// @brief A decoded JSON-RPC call; the parameters are JSON text.
    struct EnvelopeCall {
        bool valid { false };
        std::string method;
        std::string parameters;
        std::string errorResponse; ///< JSON-RPC error response to send if the call is invalid.
    };

    /// @brief A JSON-RPC response; the result is JSON text.
    struct EnvelopeResponse {
        bool succeeded { false };
        std::string result;
        int code { 0 }; ///< JSON-RPC error code of a failed call; 0 if the response could not be decoded.
        std::string message;
    };

    /// @brief JSON-RPC error code "Method not found".
    constexpr int methodNotFoundCode = -32601;

    /// @brief Error code for errors reported by handlers; libjsonrpccpp has no message of its own for it, so the handler's message is sent.
    constexpr int handlerErrorCode = -32050;

    /**
     * @brief Encodes a call as a JSON-RPC 2.0 request.
     * @param parameters JSON text of an object or array.
     */
    std::string encodeCall(const std::string& method, const std::string& parameters);

    /// @brief Decodes a JSON-RPC 2.0 response.
    EnvelopeResponse decodeResponse(const std::string& text);

    /// @brief Decodes calls and encodes their responses with libjsonrpccpp.
    class EnvelopeCodec {
    public:
        EnvelopeCodec();
        ~EnvelopeCodec();
        EnvelopeCodec(const EnvelopeCodec&) = delete;
        EnvelopeCodec& operator=(const EnvelopeCodec&) = delete;

        /// @brief Registers a method; calls of other methods are rejected.
        void addMethod(const std::string& method);

        /// @brief Decodes a call; batches and notifications are rejected.
        EnvelopeCall decodeCall(const std::string& text);

        /// @brief Encodes the response to a call that decodeCall() has accepted.
        std::string encodeResponse(const std::string& requestText, const EnvelopeResponse& response);

    private:
        class Native;
        std::unique_ptr<Native> native;
    };

}
}
