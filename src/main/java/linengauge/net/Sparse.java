package linengauge.net;

import java.util.HashMap;
import java.util.Map;
import net.logstash.logback.argument.StructuredArguments;
import org.slf4j.Logger;

/**
 * Log lines about things that may come by the thousand: of each kind one a second at most, with the
 * number of those left out. Kinds are named in the code, so the table is bounded by it. Used on one
 * loop only.
 */
public final class Sparse {
  private static final long PACE_MICROS = 1_000_000;

  private static final class Kind {
    private long saidAt = Long.MIN_VALUE / 2;
    private long leftOut;
  }

  private final Logger log;
  private final Map<String, Kind> kinds = new HashMap<>();

  public Sparse(Logger log) {
    this.log = log;
  }

  public void warn(String kind, String about, Object detail) {
    Kind k = kinds.computeIfAbsent(kind, n -> new Kind());
    long now = Wall.micros();
    if (now - k.saidAt < PACE_MICROS) {
      k.leftOut++;
      return;
    }
    k.saidAt = now;
    log.warn(
        "{} {}",
        kind,
        StructuredArguments.kv("about", about),
        StructuredArguments.kv("detail", detail),
        StructuredArguments.kv("leftOut", k.leftOut));
    k.leftOut = 0;
  }
}
