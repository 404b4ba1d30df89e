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
public final class RateLimitedLog {
  private static final long MIN_INTERVAL_MICROS = 1_000_000;

  private static final class KindState {
    private long lastLoggedAt = Long.MIN_VALUE / 2;
    private long suppressed;
  }

  private final Logger log;
  private final Map<String, KindState> kinds = new HashMap<>();

  public RateLimitedLog(Logger log) {
    this.log = log;
  }

  public void warn(String kind, String about, Object detail) {
    KindState k = kinds.computeIfAbsent(kind, n -> new KindState());
    long now = WallClock.micros();
    if (now - k.lastLoggedAt < MIN_INTERVAL_MICROS) {
      k.suppressed++;
      return;
    }
    k.lastLoggedAt = now;
    log.warn(
        "{} {}",
        kind,
        StructuredArguments.kv("about", about),
        StructuredArguments.kv("detail", detail),
        StructuredArguments.kv("leftOut", k.suppressed));
    k.suppressed = 0;
  }
}
