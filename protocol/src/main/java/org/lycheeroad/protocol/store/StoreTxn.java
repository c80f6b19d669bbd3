package org.lycheeroad.protocol.store;

import java.util.List;

/**
 * An atomic transaction: runs {@code onSuccess} if all conditions hold, otherwise {@code
 * onFailure}.
 */
public record StoreTxn(
        List<StoreCompare> conditions, List<StoreOp> onSuccess, List<StoreOp> onFailure) {}
