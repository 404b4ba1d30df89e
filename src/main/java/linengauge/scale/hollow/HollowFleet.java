package linengauge.scale.hollow;

import java.io.IOException;

/** Runs a plan of hollow fronts. */
public final class HollowFleet {
  private HollowFleet() {}

  /**
   * Starts the processes, plays the plan, ends the processes, whatever happens.
   *
   * @throws HollowPlanRefused before anything is started
   * @throws IOException where a process or a file cannot be had
   */
  public static HollowFigures run(HollowPlan plan) throws HollowPlanRefused, IOException {
    throw new HollowPlanRefused("hollow fronts are not built yet");
  }
}
