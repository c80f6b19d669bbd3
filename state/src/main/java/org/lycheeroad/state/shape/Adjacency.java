package org.lycheeroad.state.shape;

/** The locality that a shape requires of its workers. */
public enum Adjacency {

    /** All accelerators on one worker. */
    WORKER,
    /** All workers in one rack. */
    RACK,
    /** Any workers of the region. */
    ANY
}
