package linengauge.drill;

import java.io.IOException;
import java.io.PrintStream;
import linengauge.standin.PlayerSimulator;

/**
 * Runs the fleet of a day without traffic or faults, for trying it by hand with a player or curl.
 */
public final class TryOut {
  private TryOut() {}

  /** Runs for the given number of seconds or until the process is ended; the fronts end with it. */
  public static void run(DayScript day, int seconds, PrintStream out)
      throws IOException, InterruptedException {
    try (TestFleet testFleet = new TestFleet(day, "", 1)) {
      testFleet.open();
      for (PlayerSimulator.Front endpoint : testFleet.frontEndpoints) {
        out.printf(
            "front %d: http://%s:%d/titles/title-0/main.m3u8?package=%s%n",
            endpoint.front(), endpoint.host(), endpoint.port(), day.packages().get(0).name());
      }
      out.printf(
          "site files and logs: %s%nends by itself after %d s%n", testFleet.folder(), seconds);
      out.flush();
      Thread.sleep(1000L * seconds);
    }
  }
}
