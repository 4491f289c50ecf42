#include "amaranthhall/kernel/acceptor.hpp"

#include <cerrno>
#include <fcntl.h>
#include <sys/socket.h>
#include <utility>

namespace amaranthhall::kernel {

namespace {

    constexpr Duration pauseWithoutDescriptors = std::chrono::milliseconds(100);
    constexpr int maximumPerTurn = 64; // connections accepted before other events are handled

    Socket openReserve()
    {
        return Socket(::open("/dev/null", O_RDONLY | O_CLOEXEC));
    }

    bool isOutOfResources(int error)
    {
        return error == EMFILE || error == ENFILE || error == ENOBUFS || error == ENOMEM;
    }

}

Acceptor::Acceptor(Loop& usedLoop, const Address& listen, Callbacks usedCallbacks, std::string usedRefusal)
    : loop(usedLoop)
    , callbacks(std::move(usedCallbacks))
    , refusal(std::move(usedRefusal))
    , listener(listenOn(listen))
    , reserve(openReserve())
{
    this->watchListener();
}

void Acceptor::watchListener()
{
    this->watch = this->loop.watch(this->listener.descriptor(), { .readable = true }, [this](auto) { this->accept(); });
}

void Acceptor::accept()
{
    for (int count = 0; count < maximumPerTurn; ++count) {
        auto socket = acceptFrom(this->listener);
        if (socket) {
            this->callbacks.accepted(std::move(socket));
            continue;
        }
        if (!isOutOfResources(errno))
            return;
        this->refuseOne();
        // The listener stays readable, so watching it on would use a whole core without accepting anything.
        this->watch.reset();
        this->pause = this->loop.after(pauseWithoutDescriptors, [this] { this->watchListener(); });
        return;
    }
}

void Acceptor::refuseOne()
{
    this->reserve.close();
    {
        const auto socket = acceptFrom(this->listener);
        if (socket) {
            if (this->callbacks.refused)
                this->callbacks.refused();
            static_cast<void>(send(socket.descriptor(), this->refusal.data(), this->refusal.size(), MSG_DONTWAIT | MSG_NOSIGNAL));
        }
    }
    this->reserve = openReserve();
}

}
