package linengauge.net;

import java.util.HashMap;
import java.util.Map;
import net.logstash.logback.argument.StructuredArguments;
import org.slf4j.Logger;

/**
 * Limits log lines about events that may occur thousands of times: at most one line per kind and
 * second, with the number of lines that were suppressed since the last one. Kinds are constants in
 * the code, which bounds the table. Not thread-safe: each instance is used on one event loop.
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

  /**
   * Logs a warning of the given kind, unless one was logged within the last second. The detail and
   * the number of suppressed lines are fields of the JSON output only, not part of the text.
   */
  public void warn(String kind, String about, Object detail) {
    KindState state = kinds.computeIfAbsent(kind, key -> new KindState());
    long now = WallClock.micros();
    if (now - state.lastLoggedAt < MIN_INTERVAL_MICROS) {
      state.suppressed++;
      return;
    }
    state.lastLoggedAt = now;
    log.warn(
        "{} {}",
        kind,
        StructuredArguments.kv("about", about),
        StructuredArguments.kv("detail", detail),
        StructuredArguments.kv("leftOut", state.suppressed));
    state.suppressed = 0;
  }
}
