package linengauge.standin;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * One viewer connection that speaks the platform's protocol (docs/protocol/platform.md, "Viewers");
 * for tests and trial runs.
 */
public final class PlatformViewers implements AutoCloseable {
  /**
   * A message of the front: type (9: answer, 12: end, 53: test passed), id, cause (-1: none),
   * description and retry advice (null: none). CLOSED is the last one.
   */
  public record FrontMessage(int type, long id, int cause, String description, String retryAdvice) {
    public static final FrontMessage CLOSED = new FrontMessage(-1, 0, -1, null, null);
  }

  private final Socket socket;
  private final BlockingQueue<FrontMessage> received = new LinkedBlockingQueue<>();

  public PlatformViewers(int port) throws IOException {
    socket = new Socket(InetAddress.getLoopbackAddress(), port);
    socket.setTcpNoDelay(true);
    Thread thread = new Thread(this::read, "platform-viewers");
    thread.setDaemon(true);
    thread.start();
  }

  private void read() {
    try {
      var in = new DataInputStream(socket.getInputStream());
      while (true) {
        byte[] frame = new byte[in.readUnsignedShort()];
        in.readFully(frame);
        ByteBuffer buffer = ByteBuffer.wrap(frame);
        int type = buffer.get() & 0xff;
        long id = buffer.getLong();
        int cause = -1;
        String description = null;
        String retryAdvice = null;
        while (buffer.hasRemaining()) {
          int code = buffer.get() & 0xff;
          byte[] value = new byte[buffer.getShort() & 0xffff];
          buffer.get(value);
          switch (code) {
            case 61 -> cause = value[0] & 0xff;
            case 63 -> description = new String(value, StandardCharsets.UTF_8);
            case 45 -> retryAdvice = new String(value, StandardCharsets.UTF_8);
            default -> {}
          }
        }
        received.add(new FrontMessage(type, id, cause, description, retryAdvice));
      }
    } catch (IOException e) {
      received.add(FrontMessage.CLOSED);
    }
  }

  /** Returns the next message of the front, or null if none arrives within the time limit. */
  public FrontMessage next(long timeLimitMs) throws InterruptedException {
    return received.poll(timeLimitMs, TimeUnit.MILLISECONDS);
  }

  public static byte[] message(int type, long id, Object... parameters) {
    ByteBuffer buffer =
        ByteBuffer.allocate(16 * 1024).putShort((short) 0).put((byte) type).putLong(id);
    for (int i = 0; i < parameters.length; i += 2) {
      byte[] value =
          parameters[i + 1] instanceof byte[] bytes
              ? bytes
              : parameters[i + 1].toString().getBytes(StandardCharsets.UTF_8);
      buffer.put(((Integer) parameters[i]).byteValue()).putShort((short) value.length).put(value);
    }
    buffer.putShort(0, (short) (buffer.position() - 2));
    return java.util.Arrays.copyOf(buffer.array(), buffer.position());
  }

  /**
   * Codes: 33 package, 35 time limit in ms, 41 title, 43 figures, 63 description of the stream. The
   * title is held by the first four cells.
   */
  public static byte[] setUp(long id, String packageName, long leftMs, String moreAttributes) {
    return message(
        1,
        id,
        33,
        packageName,
        35,
        leftMs,
        41,
        "7f3a9c21e0b4d655",
        43,
        "home:0;copies:4;top:4;viewer:00000000b4d65521" + moreAttributes,
        63,
        "m=audio of " + id + "\r\n");
  }

  public void send(byte[] bytes) throws IOException {
    socket.getOutputStream().write(bytes);
  }

  public void sendProbe() throws IOException {
    send(message(52, 1, 61, new byte[] {0}));
  }

  public void end(long id, int cause) throws IOException {
    send(message(12, id, 61, new byte[] {(byte) cause}));
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
