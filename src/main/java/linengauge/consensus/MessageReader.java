package linengauge.consensus;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Reads what {@link MessageWriter} laid out. All that does not fit is an IllegalArgumentException,
 * before anything of that size is made.
 */
public final class MessageReader {
  private final ByteBuffer from;

  public MessageReader(byte[] bytes) {
    from = ByteBuffer.wrap(bytes);
  }

  public long num() {
    try {
      return from.getLong();
    } catch (BufferUnderflowException e) {
      throw new IllegalArgumentException("cut short", e);
    }
  }

  /** A number within bounds. */
  public int num(int least, int most) {
    long n = num();
    if (n < least || n > most) {
      throw new IllegalArgumentException("a number out of bounds: " + n);
    }
    return (int) n;
  }

  public <T> T one(T[] of) {
    return of[num(0, of.length - 1)];
  }

  public double real() {
    double d = Double.longBitsToDouble(num());
    if (!Double.isFinite(d)) {
      throw new IllegalArgumentException("a number that is none");
    }
    return d;
  }

  public boolean flag() {
    if (!from.hasRemaining()) {
      throw new IllegalArgumentException("cut short");
    }
    byte b = from.get();
    if (b != 0 && b != 1) {
      throw new IllegalArgumentException("a flag of " + b);
    }
    return b == 1;
  }

  public byte[] bytes(int most) {
    if (from.remaining() < Integer.BYTES) {
      throw new IllegalArgumentException("cut short");
    }
    int length = from.getInt();
    if (length < 0 || length > most || length > from.remaining()) {
      throw new IllegalArgumentException("a length of " + length);
    }
    byte[] b = new byte[length];
    from.get(b);
    return b;
  }

  public String text(int most) {
    return new String(bytes(most), StandardCharsets.UTF_8);
  }

  /** Nothing may be left. */
  public void end() {
    if (from.hasRemaining()) {
      throw new IllegalArgumentException(from.remaining() + " bytes too many");
    }
  }
}
