package org.lycheeroad.scheduler.log;

import org.lycheeroad.state.event.EventCode;
import org.lycheeroad.transport.events.EventLog;

/** Records coded events about jobs and about the daemon itself. */
public final class EventRecorder {
    private final EventLog mLog;

    public EventRecorder(EventLog log) {
        mLog = log;
    }

    /** Records an event; {@code job} is empty if the event does not concern a single job. */
    public void record(EventCode code, String job, String text) {
        mLog.record(code, job, "", "", text);
    }
}
