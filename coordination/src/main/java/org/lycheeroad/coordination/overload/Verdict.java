package org.lycheeroad.coordination.overload;

/** What is to be expected of waiting work; constants in the order in which work is served. */
public enum Verdict {
    /** There is room for it to end in time. */
    IN_TIME,
    /** It has to give way to work that is worth more, and is still of use if it ends late. */
    LATE,
    /** There is no room for it while it is of use. */
    USELESS
}
