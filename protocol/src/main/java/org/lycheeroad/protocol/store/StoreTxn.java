package org.lycheeroad.protocol.store;

import java.util.List;

/** Runs {@code success} if all conditions hold, else {@code failure}, in one step. */
public record StoreTxn(
        List<StoreCompare> conditions, List<StoreOp> onSuccess, List<StoreOp> onFailure) {}
