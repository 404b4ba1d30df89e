package linengauge.consensus;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Numbers, texts and bytes laid out one after another; {@link MessageReader} reads them. */
public final class MessageWriter {
  private byte[] held = new byte[128];
  private int length;

  private ByteBuffer more(int by) {
    if (length + by > held.length) {
      held = Arrays.copyOf(held, Math.max(held.length * 2, length + by));
    }
    ByteBuffer at = ByteBuffer.wrap(held, length, by);
    length += by;
    return at;
  }

  public MessageWriter num(long n) {
    more(Long.BYTES).putLong(n);
    return this;
  }

  public MessageWriter real(double d) {
    return num(Double.doubleToLongBits(d));
  }

  public MessageWriter flag(boolean f) {
    more(1).put((byte) (f ? 1 : 0));
    return this;
  }

  public MessageWriter bytes(byte[] b) {
    more(Integer.BYTES).putInt(b.length);
    more(b.length).put(b);
    return this;
  }

  public MessageWriter text(String t) {
    return bytes(t.getBytes(StandardCharsets.UTF_8));
  }

  public byte[] done() {
    return Arrays.copyOf(held, length);
  }
}
