#include <base/rcu.h>

#include <urcu/urcu-memb.h>

#if defined(__SANITIZE_THREAD__)
extern "C" void __tsan_acquire(void *address); // NOLINT
extern "C" void __tsan_release(void *address); // NOLINT
#endif

namespace orioledrum::rcu
{

namespace
{

#if defined(__SANITIZE_THREAD__)
// liburcu is not instrumented. These annotations tell the thread sanitizer that read-side critical sections happen before the
// end of the grace period.
char s_gracePeriod;
void annotateRelease()
{
    __tsan_release(&s_gracePeriod);
}
void annotateAcquire()
{
    __tsan_acquire(&s_gracePeriod);
}
#else
void annotateRelease() {}
void annotateAcquire() {}
#endif

class thread_registration
{
public:
    thread_registration() { urcu_memb_register_thread(); }
    ~thread_registration() { urcu_memb_unregister_thread(); }
    thread_registration(const thread_registration &) = delete;
    thread_registration &operator=(const thread_registration &) = delete;
};

void registerThisThread()
{
    static thread_local const thread_registration registration;
    (void)registration;
}

} // namespace

read_guard::read_guard()
{
    registerThisThread();
    urcu_memb_read_lock();
}

read_guard::~read_guard()
{
    annotateRelease();
    urcu_memb_read_unlock();
}

void synchronize()
{
    urcu_memb_synchronize_rcu();
    annotateAcquire();
}

} // namespace orioledrum::rcu
