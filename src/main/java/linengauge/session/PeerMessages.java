package linengauge.session;

import java.nio.ByteBuffer;
import linengauge.Policy;

/**
 * The two kinds of word between fronts, told apart by their length: what one front plays at a box,
 * and the answer of the one that keeps its rack. Ids are of 32 bits; rates go in steps of 8 kB a
 * second, rack figures in steps of 32, the uplink's share in steps of a 200th; counts stop at 255.
 */
public final class PeerMessages {
  private static final int TOLD = 8;
  private static final int ANSWERED = 11;

  private PeerMessages() {}

  /** A word to the keeper of a box's rack. */
  public static byte[] encodeReport(
      Policy.MediaBox box, int viewings, double kb, double uplinkShare) {
    return start(TOLD, box, viewings, kb).put((byte) Math.round(200 * uplinkShare)).array();
  }

  /** The keeper's answer: the same of all others, and the rack's kB and size. */
  public static byte[] encodeReply(
      Policy.MediaBox box, int othersViewings, double othersKb, double rackKb, double rackSizeKb) {
    return start(ANSWERED, box, othersViewings, othersKb)
        .putShort(eighths(rackKb / 4))
        .putShort(eighths(rackSizeKb / 4))
        .array();
  }

  private static ByteBuffer start(int length, Policy.MediaBox box, int viewings, double kb) {
    return ByteBuffer.allocate(length)
        .putInt((int) ((BoxTable.Entry) box.line()).id())
        .put((byte) Math.min(0xff, viewings))
        .putShort(eighths(kb));
  }

  private static short eighths(double kb) {
    return (short) Math.max(0, Math.min(0xffff, Math.round(kb / 8)));
  }

  /**
   * Hands a word on to the box that it is about; false where it is none or names no box that is
   * known here.
   */
  public static boolean deliver(BoxTable boxes, int from, byte[] word) {
    if (word.length != TOLD && word.length != ANSWERED) {
      return false;
    }
    ByteBuffer bytes = ByteBuffer.wrap(word);
    BoxTable.Entry b = boxes.get(Integer.toUnsignedLong(bytes.getInt()));
    if (b == null) {
      return false;
    }
    int count = Byte.toUnsignedInt(bytes.get());
    double kb = 8.0 * Short.toUnsignedInt(bytes.getShort());
    if (word.length == ANSWERED) {
      b.mediaBox()
          .othersPlay(
              count,
              kb,
              32.0 * Short.toUnsignedInt(bytes.getShort()),
              32.0 * Short.toUnsignedInt(bytes.getShort()));
    } else {
      b.mediaBox().frontPlays(from, count, kb, Byte.toUnsignedInt(bytes.get()) / 200.0);
    }
    return true;
  }
}
