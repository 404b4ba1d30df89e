package linengauge.scale.fronts;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import linengauge.standin.PlatformViewers;

/**
 * One viewer connection without a thread of its own, so that thousands of them cost the test rig
 * little. It reads only on request.
 */
final class ClientSocket implements AutoCloseable {
  static final int PLAYING_TYPE = 9;
  static final int ENDED_TYPE = 12;
  static final int TEST_PASSED_TYPE = 53;
  private static final int TIMEOUT_MS = 5000;

  private final Socket socket = new Socket();
  private final DataInputStream in;

  ClientSocket(int port) throws IOException {
    socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), TIMEOUT_MS);
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(TIMEOUT_MS);
    in = new DataInputStream(socket.getInputStream());
  }

  void send(byte[] message) throws IOException {
    socket.getOutputStream().write(message);
  }

  /** Reads one message and returns its type; throws if none arrives within the time limit. */
  int readType() throws IOException {
    byte[] message = new byte[in.readUnsignedShort()];
    in.readFully(message);
    return ByteBuffer.wrap(message).get() & 0xff;
  }

  /**
   * Requests a test (message type 52 of id 1, whose parameter 61, the cause, is 0) and returns
   * whether the front answers within the time limit that it passes.
   */
  boolean passesTest() {
    try {
      send(PlatformViewers.message(52, 1, 61, new byte[] {0}));
      return readType() == TEST_PASSED_TYPE;
    } catch (IOException e) {
      return false; // the connection is closed or no answer arrived in time
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
