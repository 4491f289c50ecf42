#include "amaranthhall/peer/jsonrpc_envelope.hpp"

#include <jsonrpccpp/client/client.h>
#include <jsonrpccpp/client/iclientconnector.h>
#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

// Compiled as C++14 because the headers of libjsonrpccpp use dynamic exception specifications, which C++17 removed.

namespace amaranthhall {
namespace peer {

    namespace {

        /// Captures the request that the library sends and returns a fixed response to it.
        class FixedResponseConnector final : public jsonrpc::IClientConnector {
        public:
            explicit FixedResponseConnector(std::string fixedResponse)
                : response(std::move(fixedResponse))
            {
            }

            void SendRPCMessage(const std::string& message, std::string& result) noexcept override
            {
                this->call = message;
                result = this->response;
            }

            std::string call;

        private:
            std::string response;
        };

        Json::Value parseJson(const std::string& text)
        {
            Json::Value value;
            Json::Reader reader;
            if (!reader.parse(text, value, false))
                value = Json::Value(Json::objectValue);
            return value;
        }

        std::string serializeJson(const Json::Value& value)
        {
            Json::FastWriter writer;
            writer.omitEndingLineFeed();
            return writer.write(value);
        }

        const char* const emptyResponse = R"({"jsonrpc":"2.0","id":1,"result":{}})";

    }

    std::string encodeCall(const std::string& method, const std::string& parameters)
    {
        FixedResponseConnector connector(emptyResponse);
        jsonrpc::Client client(connector);
        client.CallMethod(method, parseJson(parameters));
        return connector.call;
    }

    EnvelopeResponse decodeResponse(const std::string& text)
    {
        FixedResponseConnector connector(text);
        jsonrpc::Client client(connector);
        EnvelopeResponse response;
        try {
            response.result = serializeJson(client.CallMethod("answer", Json::Value(Json::objectValue)));
            response.succeeded = true;
        } catch (const jsonrpc::JsonRpcException& exception) {
            const auto isInvalidResponse = exception.GetCode() == jsonrpc::Errors::ERROR_CLIENT_INVALID_RESPONSE || exception.GetCode() == jsonrpc::Errors::ERROR_RPC_JSON_PARSE_ERROR;
            response.code = isInvalidResponse ? 0 : exception.GetCode();
            response.message = exception.GetMessage();
        }
        return response;
    }

    class EnvelopeCodec::Native final : public jsonrpc::IProcedureInvokationHandler {
    public:
        Native()
            : handler(jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2, *this))
        {
        }

        void HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input, Json::Value& output) override
        {
            if (!this->response) {
                this->decodedCall.valid = true;
                this->decodedCall.method = procedure.GetProcedureName();
                this->decodedCall.parameters = serializeJson(input);
                return;
            }
            if (!this->response->succeeded)
                throw jsonrpc::JsonRpcException(this->response->code, this->response->message);
            output = parseJson("[" + this->response->result + "]")[0];
        }

        void HandleNotificationCall(jsonrpc::Procedure&, const Json::Value&) override { }

        std::unique_ptr<jsonrpc::IProtocolHandler> handler;
        EnvelopeCall decodedCall;
        const EnvelopeResponse* response { nullptr };
    };

    EnvelopeCodec::EnvelopeCodec()
        : native(new Native)
    {
    }

    EnvelopeCodec::~EnvelopeCodec() = default;

    void EnvelopeCodec::addMethod(const std::string& method)
    {
        this->native->handler->AddProcedure(jsonrpc::Procedure(method, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, NULL));
    }

    EnvelopeCall EnvelopeCodec::decodeCall(const std::string& text)
    {
        this->native->decodedCall = EnvelopeCall();
        std::string errorResponse;
        if (!text.empty() && text.front() == '{')
            this->native->handler->HandleRequest(text, errorResponse);
        this->native->decodedCall.errorResponse = errorResponse;
        return this->native->decodedCall;
    }

    std::string EnvelopeCodec::encodeResponse(const std::string& requestText, const EnvelopeResponse& response)
    {
        std::string text;
        this->native->response = &response;
        this->native->handler->HandleRequest(requestText, text);
        this->native->response = nullptr;
        return text;
    }

}
}
