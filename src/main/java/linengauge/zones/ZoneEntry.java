package linengauge.zones;

import linengauge.consensus.MessageReader;
import linengauge.consensus.MessageWriter;

/**
 * One place's row.
 *
 * @param stays share of its newcomers that it serves itself, 0 to 1
 * @param goes share that is sent elsewhere; what is left, 1 - stays - goes, is refused where it
 *     asks
 * @param relapses how often it was given up again since it last stood near for long
 * @param order of an operator that holds it so, or ""
 * @param since the table's number with which it came to stand so
 */
public record ZoneEntry(
    ZoneState standing, double stays, double goes, int relapses, String order, long since) {
  private static final int MOST_ORDER = 256;

  public static final ZoneEntry AT_REST = new ZoneEntry(ZoneState.NEAR, 1, 0, 0, "", 0);

  public ZoneEntry {
    if (!(stays >= 0 && goes >= 0 && stays + goes <= 1 + 1e-9)
        || relapses < 0
        || order.length() > MOST_ORDER) {
      throw new IllegalArgumentException("no row: " + stays + " stays, " + goes + " goes");
    }
  }

  void write(MessageWriter to) {
    to.num(standing.ordinal()).real(stays).real(goes).num(relapses).text(order).num(since);
  }

  static ZoneEntry read(MessageReader from) {
    return new ZoneEntry(
        from.one(ZoneState.values()),
        from.real(),
        from.real(),
        from.num(0, Integer.MAX_VALUE),
        from.text(4 * MOST_ORDER),
        from.num());
  }
}
