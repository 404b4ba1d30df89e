package linengauge.zones;

import linengauge.consensus.MessageReader;
import linengauge.consensus.MessageWriter;

/**
 * One place's row.
 *
 * @param localShare share of its newcomers that it serves itself, 0 to 1
 * @param remoteShare share that is sent elsewhere; what is left, 1 - stays - goes, is refused where
 *     it asks
 * @param relapses how often it was given up again since it last stood near for long
 * @param holdReason of an operator that holds it so, or ""
 * @param stateSinceVersion the table's number with which it came to stand so
 */
public record ZoneEntry(
    ZoneState state,
    double localShare,
    double remoteShare,
    int relapses,
    String holdReason,
    long stateSinceVersion) {
  private static final int MAX_HOLD_REASON_CHARS = 256;

  public static final ZoneEntry DEFAULT = new ZoneEntry(ZoneState.NEAR, 1, 0, 0, "", 0);

  public ZoneEntry {
    if (!(localShare >= 0 && remoteShare >= 0 && localShare + remoteShare <= 1 + 1e-9)
        || relapses < 0
        || holdReason.length() > MAX_HOLD_REASON_CHARS) {
      throw new IllegalArgumentException(
          "no row: " + localShare + " stays, " + remoteShare + " goes");
    }
  }

  void write(MessageWriter writer) {
    writer
        .num(state.ordinal())
        .real(localShare)
        .real(remoteShare)
        .num(relapses)
        .text(holdReason)
        .num(stateSinceVersion);
  }

  static ZoneEntry read(MessageReader reader) {
    return new ZoneEntry(
        reader.one(ZoneState.values()),
        reader.real(),
        reader.real(),
        reader.num(0, Integer.MAX_VALUE),
        reader.text(4 * MAX_HOLD_REASON_CHARS),
        reader.num());
  }
}
