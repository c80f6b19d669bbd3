package org.lycheeroad.state.table;

import java.util.List;
import java.util.OptionalLong;
import org.lycheeroad.state.id.KindId;
import org.lycheeroad.state.id.RegionId;
import org.lycheeroad.state.id.TeamId;
import org.lycheeroad.state.shape.Shape;

/**
 * The weight, limit and guarantees of a team for one kind of work in a region.
 *
 * @param deadlineMs the default deadline of requests in milliseconds; 0 for none
 */
public record TableRow(
        TeamId team,
        WorkClass work,
        KindId kind,
        RegionId region,
        int weight,
        OptionalLong limit,
        List<Shape> guarantees,
        int deadlineMs) {}
