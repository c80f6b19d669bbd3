package org.lycheeroad.entry.control;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.lycheeroad.state.event.EventCode;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Notifies the registered listeners of changes of the shared state. */
final class ControlListenerRegistry {
    private static final Logger LOG = LoggerFactory.getLogger(ControlListenerRegistry.class);

    private final List<ControlListener> mListeners = new CopyOnWriteArrayList<>();

    /** Adds a listener; may be called on any thread. */
    void add(ControlListener listener) {
        mListeners.add(listener);
    }

    /** Calls every listener; an exception of one is logged and does not affect the others. */
    void notifyListeners(Consumer<ControlListener> notification) {
        for (ControlListener listener : mListeners) {
            try {
                notification.accept(listener);
            } catch (RuntimeException e) {
                LOG.error("Control plane listener failed", e);
            }
        }
    }

    /** Logs an event and passes it to the listeners. */
    void recordEvent(EventCode code, String text) {
        LOG.info("[{}] {} {}", code.number(), code.text(), text);
        notifyListeners(l -> l.onEvent(code, text));
    }
}
