package org.lycheeroad.state.job;

import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.id.KindId;
import org.lycheeroad.state.id.RegionId;
import org.lycheeroad.state.id.TeamId;
import org.lycheeroad.state.shape.Shape;

/**
 * A gang job as submitted by a team.
 *
 * @param declaredMs the run time that the team declared, in milliseconds; an estimate that may be
 *     wrong
 */
public record JobSpec(
        JobId id,
        TeamId team,
        KindId kind,
        RegionId region,
        Shape shape,
        boolean urgent,
        long declaredMs,
        String payload) {}
