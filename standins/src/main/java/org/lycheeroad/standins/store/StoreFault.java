package org.lycheeroad.standins.store;

/**
 * A fault to inject into the store.
 *
 * @param mode {@code none}, {@code down} (connections are closed), {@code slow}, {@code
 *     lose-answers} (writes take effect but are not answered) or {@code stale} (reads return the
 *     state at the start of the fault and watches deliver no events)
 * @param delayMs the delay of responses in mode {@code slow}, in milliseconds
 * @param count the number of calls to affect; 0 means all until the next fault is set
 */
public record StoreFault(String mode, long delayMs, int count) {
    /** No fault. */
    public static final StoreFault NONE = new StoreFault("none", 0, 0);
}
