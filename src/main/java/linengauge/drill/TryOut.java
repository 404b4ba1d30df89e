package linengauge.drill;

import java.io.IOException;
import java.io.PrintStream;
import linengauge.standin.PlayerSimulator;

/**
 * The fleet of a day with nobody coming and nothing going wrong, for people to try with a player or
 * curl.
 */
public final class TryOut {
  private TryOut() {}

  /** Runs for so many seconds, or until the process is ended; the fronts go with it. */
  public static void run(DayScript day, int seconds, PrintStream out)
      throws IOException, InterruptedException {
    try (Grounds g = new Grounds(day, "", 1)) {
      g.open();
      for (PlayerSimulator.Front d : g.doors) {
        out.printf(
            "front %d: http://%s:%d/titles/title-0/main.m3u8?package=%s%n",
            d.front(), d.host(), d.port(), day.packages().get(0).name());
      }
      out.printf("site files and logs: %s%nends by itself after %d s%n", g.folder(), seconds);
      out.flush();
      Thread.sleep(1000L * seconds);
    }
  }
}
