package org.lycheeroad.coordination.overload;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** The room that running work leaves to waiting work until some time. */
public final class RoomForecast {
    private record Occupied(double share, long remainingMs) {}

    private final double mUsableShare;
    private final List<Occupied> mOccupied = new ArrayList<>();
    private boolean mSorted;

    /** For each occupied part, the room that it and all parts that are free earlier take. */
    private double[] mRoomOfEarlierMs = {};

    /** For each occupied part, the share that it and all parts that are free later take. */
    private double[] mShareOfLater = {};

    /**
     * Creates a forecast without running work.
     *
     * @param usableShare the share of the cluster that work can occupy, from 0 to 1; gangs and
     *     racks leave gaps that no task fits into
     */
    public RoomForecast(double usableShare) {
        mUsableShare = usableShare;
    }

    /** Adds running work that occupies a share of the cluster for some more time. */
    public void addRunning(double share, long remainingMs) {
        mOccupied.add(new Occupied(share, remainingMs));
        mSorted = false;
    }

    /** Returns the room within a time from now, in milliseconds of the whole cluster. */
    double roomMs(long withinMs) {
        sort();
        int low = 0;
        int high = mOccupied.size();
        while (low < high) {
            int middle = (low + high) / 2;
            if (mOccupied.get(middle).remainingMs <= withinMs) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        double occupiedMs =
                (low > 0 ? mRoomOfEarlierMs[low - 1] : 0)
                        + (low < mOccupied.size() ? mShareOfLater[low] * withinMs : 0);
        return mUsableShare * withinMs - occupiedMs;
    }

    private void sort() {
        if (mSorted) {
            return;
        }
        mSorted = true;
        mOccupied.sort(Comparator.comparingLong(Occupied::remainingMs));
        int count = mOccupied.size();
        mRoomOfEarlierMs = new double[count];
        mShareOfLater = new double[count];
        double roomMs = 0;
        for (int i = 0; i < count; i++) {
            roomMs += mOccupied.get(i).share * mOccupied.get(i).remainingMs;
            mRoomOfEarlierMs[i] = roomMs;
        }
        double share = 0;
        for (int i = count - 1; i >= 0; i--) {
            share += mOccupied.get(i).share;
            mShareOfLater[i] = share;
        }
    }
}
