#include "amaranthhall/peer/jsonrpc_envelope.hpp"

#include <jsonrpccpp/client/client.h>
#include <jsonrpccpp/client/iclientconnector.h>
#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

// Compiled as C++14: the library's headers use dynamic exception specifications.

namespace amaranthhall {
namespace peer {

    namespace {

        /// Takes the call that the library writes and hands it a prepared answer.
        class PreparedConnector final : public jsonrpc::IClientConnector {
        public:
            explicit PreparedConnector(std::string preparedAnswer)
                : answer(std::move(preparedAnswer))
            {
            }

            void SendRPCMessage(const std::string& message, std::string& result) noexcept override
            {
                this->call = message;
                result = this->answer;
            }

            std::string call;

        private:
            std::string answer;
        };

        Json::Value readJson(const std::string& text)
        {
            Json::Value value;
            Json::Reader reader;
            if (!reader.parse(text, value, false))
                value = Json::Value(Json::objectValue);
            return value;
        }

        std::string writeJson(const Json::Value& value)
        {
            Json::FastWriter writer;
            writer.omitEndingLineFeed();
            return writer.write(value);
        }

        const char* const emptyAnswer = R"({"jsonrpc":"2.0","id":1,"result":{}})";

    }

    std::string encodeCall(const std::string& method, const std::string& parameters)
    {
        PreparedConnector connector(emptyAnswer);
        jsonrpc::Client client(connector);
        client.CallMethod(method, readJson(parameters));
        return connector.call;
    }

    EnvelopeAnswer decodeAnswer(const std::string& text)
    {
        PreparedConnector connector(text);
        jsonrpc::Client client(connector);
        EnvelopeAnswer answer;
        try {
            answer.result = writeJson(client.CallMethod("answer", Json::Value(Json::objectValue)));
            answer.succeeded = true;
        } catch (const jsonrpc::JsonRpcException& exception) {
            const auto unreadable = exception.GetCode() == jsonrpc::Errors::ERROR_CLIENT_INVALID_RESPONSE || exception.GetCode() == jsonrpc::Errors::ERROR_RPC_JSON_PARSE_ERROR;
            answer.code = unreadable ? 0 : exception.GetCode();
            answer.message = exception.GetMessage();
        }
        return answer;
    }

    class ServerEnvelope::Native final : public jsonrpc::IProcedureInvokationHandler {
    public:
        Native()
            : handler(jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2, *this))
        {
        }

        void HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input, Json::Value& output) override
        {
            if (!this->answer) {
                this->seen.valid = true;
                this->seen.method = procedure.GetProcedureName();
                this->seen.parameters = writeJson(input);
                return;
            }
            if (!this->answer->succeeded)
                throw jsonrpc::JsonRpcException(this->answer->code, this->answer->message);
            output = readJson("[" + this->answer->result + "]")[0];
        }

        void HandleNotificationCall(jsonrpc::Procedure&, const Json::Value&) override { }

        std::unique_ptr<jsonrpc::IProtocolHandler> handler;
        EnvelopeCall seen;
        const EnvelopeAnswer* answer { nullptr };
    };

    ServerEnvelope::ServerEnvelope()
        : native(new Native)
    {
    }

    ServerEnvelope::~ServerEnvelope() = default;

    void ServerEnvelope::addMethod(const std::string& method)
    {
        this->native->handler->AddProcedure(jsonrpc::Procedure(method, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, NULL));
    }

    EnvelopeCall ServerEnvelope::decodeCall(const std::string& text)
    {
        this->native->seen = EnvelopeCall();
        std::string refusal;
        if (!text.empty() && text.front() == '{')
            this->native->handler->HandleRequest(text, refusal);
        this->native->seen.refusal = refusal;
        return this->native->seen;
    }

    std::string ServerEnvelope::encodeAnswer(const std::string& callText, const EnvelopeAnswer& answer)
    {
        std::string text;
        this->native->answer = &answer;
        this->native->handler->HandleRequest(callText, text);
        this->native->answer = nullptr;
        return text;
    }

}
}
