package linengauge.session;

import java.nio.ByteBuffer;
import linengauge.Policy;

/**
 * The two messages between fronts, distinguished by their length: a report of what one front plays
 * at a box, and the reply of the rack owner. Ids have 32 bits; rates are in steps of 8 kB/s, rack
 * rates and capacities in steps of 32 kB/s, the share that the uplink delivers in steps of 1/200;
 * counts saturate at 255.
 */
public final class PeerMessages {
  private static final int REPORT_BYTES = 8;
  private static final int REPLY_BYTES = 11;

  private PeerMessages() {}

  /**
   * Encodes a report to the owner of a box's rack: the number and the rate of the viewings that
   * this front plays at the box, and the share of the rates that the uplink delivers there.
   */
  public static byte[] encodeReport(
      Policy.MediaBox box, int viewings, double kb, double uplinkShare) {
    return header(REPORT_BYTES, box, viewings, kb)
        .put((byte) Math.round(200 * uplinkShare))
        .array();
  }

  /**
   * Encodes the rack owner's reply: number and rate of the viewings that all fronts but the
   * addressee play at the box, the rate of all fronts on the rack, and its uplink's capacity.
   */
  public static byte[] encodeReply(
      Policy.MediaBox box, int othersViewings, double othersKb, double rackKb, double rackSizeKb) {
    return header(REPLY_BYTES, box, othersViewings, othersKb)
        .putShort(toUnitsOf8Kb(rackKb / 4))
        .putShort(toUnitsOf8Kb(rackSizeKb / 4))
        .array();
  }

  private static ByteBuffer header(int length, Policy.MediaBox box, int viewings, double kb) {
    return ByteBuffer.allocate(length)
        .putInt((int) ((BoxTable.Entry) box.port()).id())
        .put((byte) Math.min(0xff, viewings))
        .putShort(toUnitsOf8Kb(kb));
  }

  private static short toUnitsOf8Kb(double kb) {
    return (short) Math.max(0, Math.min(0xffff, Math.round(kb / 8)));
  }

  /**
   * Applies a message to the box that it is about; false where it is malformed or names a box that
   * is not known here.
   */
  public static boolean deliver(BoxTable boxes, int from, byte[] message) {
    if (message.length != REPORT_BYTES && message.length != REPLY_BYTES) {
      return false;
    }
    ByteBuffer bytes = ByteBuffer.wrap(message);
    BoxTable.Entry box = boxes.get(Integer.toUnsignedLong(bytes.getInt()));
    if (box == null) {
      return false;
    }
    int count = Byte.toUnsignedInt(bytes.get());
    double kb = 8.0 * Short.toUnsignedInt(bytes.getShort());
    if (message.length == REPLY_BYTES) {
      box.mediaBox()
          .rackUsageReceived(
              count,
              kb,
              32.0 * Short.toUnsignedInt(bytes.getShort()),
              32.0 * Short.toUnsignedInt(bytes.getShort()));
    } else {
      box.mediaBox().usageReceived(from, count, kb, Byte.toUnsignedInt(bytes.get()) / 200.0);
    }
    return true;
  }
}
