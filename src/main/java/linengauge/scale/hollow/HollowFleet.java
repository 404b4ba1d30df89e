package linengauge.scale.hollow;

import java.io.IOException;

/** Runs a plan of hollow fronts. */
public final class HollowFleet {
  /** How long an end of this process waits for the run's caller to write down what it has. */
  private static final long LONGEST_END_MS = 4000;

  private HollowFleet() {}

  /**
   * Starts the processes, plays the plan, ends the processes, whatever happens. Where this process
   * is told to end meanwhile, the run ends early, and its figures say that they are partial.
   *
   * @throws HollowPlanRefused before anything is started
   * @throws IOException where a process or a file cannot be had
   */
  public static HollowFigures run(HollowPlan plan) throws HollowPlanRefused, IOException {
    PlanCheck.check(plan);
    try (HollowRun run = new HollowRun(plan)) {
      Thread caller = Thread.currentThread();
      Thread end = new Thread(() -> end(run, caller), "hollow-end");
      Runtime.getRuntime().addShutdownHook(end);
      try {
        return run.play();
      } finally {
        release(end);
      }
    }
  }

  private static void end(HollowRun run, Thread caller) {
    run.stop();
    try {
      caller.join(LONGEST_END_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    run.close();
  }

  private static void release(Thread end) {
    try {
      Runtime.getRuntime().removeShutdownHook(end);
    } catch (IllegalStateException e) {
      return; // it is at work
    }
  }
}
