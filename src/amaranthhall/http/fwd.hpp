#pragma once

namespace amaranthhall::http {

class Client;
class Server;
struct Request;
struct Response;

}
