package linengauge.rehearsal;

import java.util.function.Consumer;
import linengauge.Span;

/** What befalls a fleet on one of the operators' days at full size, in outline. */
public enum Shape {
  /** No fault. */
  CALM(day -> {}),
  /** Half of the boxes are replaced in steps while all fronts are restarted, a tenth at a time. */
  ROLL(
      day -> {
        for (int box = 0; box < day.boxes(); box += 2) {
          int b = box;
          day.at(Span.ofSeconds(2 + 8.0 * box / day.boxes()), () -> day.replace(b));
        }
        for (int f = 0; f < day.fronts(); f++) {
          int front = f;
          day.at(Span.ofSeconds(1 + f * 10 / day.fronts()), () -> day.restart(front));
        }
      }),
  /** Seven in ten fronts are killed at once; one box in eight is bad. */
  HERD(
      day -> {
        day.at(Span.NONE, () -> day.spoil(8));
        day.at(
            Span.ofSeconds(4),
            () -> {
              for (int f = 0; f < day.fronts(); f++) {
                if (f % 10 < 7) {
                  day.kill(f);
                }
              }
            });
      }),
  /**
   * All boxes of a zone are lost for five seconds and come back cold; a zone is cut off from the
   * others; some are bad.
   */
  ZONE(
      day -> {
        day.at(Span.NONE, () -> day.spoil(8));
        for (int box = 1; box < day.boxes(); box += 3) {
          int b = box;
          day.at(Span.ofSeconds(3), () -> day.lose(b, Span.ofSeconds(5)));
        }
        day.at(Span.ofSeconds(10), () -> day.cutOffZone(2, Span.ofSeconds(3)));
      }),
  /**
   * A fifth of the boxes is silent for six seconds; the list is late, answers get lost, connections
   * are reset.
   */
  SPLIT(
      day -> {
        day.at(Span.ofSeconds(3), () -> day.silence(Span.ofSeconds(6)));
        day.at(Span.ofSeconds(2), () -> day.disturb(Span.ofSeconds(3), 0.03, Span.ofSeconds(10)));
      }),
  /** Six in ten boxes are replaced within seven seconds. */
  JOIN(
      day -> {
        for (int box = 0; box < day.boxes(); box++) {
          int b = box;
          if (box % 10 < 6) {
            day.at(Span.ofSeconds(2 + 7.0 * box / day.boxes()), () -> day.replace(b));
          }
        }
      });

  private final Consumer<FleetDay> troubles;

  Shape(Consumer<FleetDay> troubles) {
    this.troubles = troubles;
  }

  /** A day of this shape, not yet played. */
  public FleetDay day(FleetDay.Size size, long seed) {
    return day(size, seed, FleetDay.Names.usual());
  }

  public FleetDay day(FleetDay.Size size, long seed, FleetDay.Names names) {
    FleetDay day = new FleetDay(size, seed, names);
    troubles.accept(day);
    return day;
  }
}
