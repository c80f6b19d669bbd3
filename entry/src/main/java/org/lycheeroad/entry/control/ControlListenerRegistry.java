package org.lycheeroad.entry.control;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.lycheeroad.state.event.EventCode;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Passes changes of the shared state to the listeners of the control plane. */
final class ControlListenerRegistry {
    private static final Logger LOG = LoggerFactory.getLogger(ControlListenerRegistry.class);

    private final List<ControlListener> mListeners = new CopyOnWriteArrayList<>();

    /** Adds a listener; may be called by any thread. */
    void add(ControlListener listener) {
        mListeners.add(listener);
    }

    /** Calls every listener; a failure of one is logged and does not keep it from the others. */
    void notifyListeners(Consumer<ControlListener> call) {
        for (ControlListener listener : mListeners) {
            try {
                call.accept(listener);
            } catch (RuntimeException e) {
                LOG.error("A listener failed", e);
            }
        }
    }

    /** Logs an event of the time line and passes it to the listeners. */
    void recordEvent(EventCode code, String text) {
        LOG.info("[{}] {} {}", code.number(), code.text(), text);
        notifyListeners(l -> l.onEvent(code, text));
    }
}
