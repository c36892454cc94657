#include "common/signal_thread.h"

#include <utility>

namespace poplarshed {

signal_thread::signal_thread(const sigset_t& signals, std::function<void(int)> on_signal)
    : m_signals(signals), m_on_signal(std::move(on_signal)), m_thread([this] { run(); })
{}

signal_thread::~signal_thread()
{
    m_stopping = true;
    pthread_kill(m_thread.native_handle(), SIGINT);
    m_thread.join();
}

void signal_thread::run()
{
    while (true) {
        int signal = 0;
        const int failed = sigwait(&m_signals, &signal);
        if (m_stopping) {
            return;
        }
        if (failed == 0) {
            m_on_signal(signal);
        }
    }
}

}  // namespace poplarshed
