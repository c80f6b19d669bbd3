package org.lycheeroad.scheduler.log;

import org.lycheeroad.state.event.EventCode;
import org.lycheeroad.transport.events.EventLog;

/** Records numbered events about jobs and about the daemon itself. */
public final class EventRecorder {
    private final EventLog mLog;

    public EventRecorder(EventLog log) {
        mLog = log;
    }

    /** Records an event; {@code job} is empty when it is not about one job. */
    public void record(EventCode code, String job, String text) {
        mLog.record(code, job, "", "", text);
    }
}
