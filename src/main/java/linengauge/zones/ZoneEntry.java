package linengauge.zones;

import linengauge.consensus.MessageReader;
import linengauge.consensus.MessageWriter;

/**
 * The table entry of a zone or region.
 *
 * @param localShare share of its new viewers that the zone serves itself, 0 to 1
 * @param remoteShare share of its new viewers that is sent elsewhere; the rest, 1 - localShare -
 *     remoteShare, is rejected by the zone
 * @param relapses how often the zone was given up since it last served for a long time
 * @param holdReason given by the operator that holds the entry, or ""
 * @param stateSinceVersion version of the table in which the state last changed, or the entry was
 *     last held or released
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
          "invalid zone entry: " + localShare + " local share, " + remoteShare + " remote share");
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
