package linengauge.scale;

import java.util.List;
import linengauge.scale.Measurement.Statistic;
import linengauge.scale.ScaleResult.Completeness;
import linengauge.scale.ScaleResult.Kind;
import linengauge.scale.ScaleResult.Machine;

/** Results for tests. */
final class Results {
  private Results() {}

  static Measurement bytes(int size, double... values) {
    return bytes(PageTables.QUIET, size, values);
  }

  static Measurement bytes(String event, int size, double... values) {
    return new Measurement(
        PageTables.GOSSIP,
        PageTables.FRONT,
        event,
        size,
        "bytes sent",
        "B/s",
        Statistic.MEAN,
        java.util.Arrays.stream(values).boxed().toList());
  }

  static ScaleResult gossip(Completeness reached, Measurement... measured) {
    return new ScaleResult(
        ScaleResult.VERSION,
        "linengauge scale simulate --mechanism gossip",
        List.of(1L, 2L),
        2,
        "2026-12-02",
        new Machine(8, 24000, "17"),
        Kind.SIMULATED,
        reached,
        "fronts",
        List.of(measured));
  }

  static ScaleResult line() {
    return gossip(
        Completeness.COMPLETE,
        bytes(60, 120, 120),
        bytes(220, 440, 440),
        bytes(440, 870, 890),
        bytes(900, 1800, 1800));
  }
}
