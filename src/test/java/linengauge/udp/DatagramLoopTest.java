package linengauge.udp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.DatagramSocket;
import java.net.InetAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import linengauge.Moment;
import linengauge.Span;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Many handlers on one thread: all are served, and one that fails does not affect the others. */
@Timeout(value = 20, unit = TimeUnit.SECONDS)
class DatagramLoopTest {
  private static final byte[] KEY = "a key of the whole fleet".getBytes();
  private static final SealedChannel.DatagramFormat FORM =
      new SealedChannel.DatagramFormat(2, 1, 4, 100);
  private static final int STEPS = 5;

  /** Steps every two milliseconds; optionally fails at its third step. */
  private static final class PeriodicHandler implements DatagramLoop.Handler {
    private final SealedChannel channel;
    private final boolean fails;
    private final CountDownLatch steps = new CountDownLatch(STEPS);
    private Moment nextStep;

    private PeriodicHandler(String address, boolean fails) throws Exception {
      this.channel = new SealedChannel(FORM, address, 1, KEY);
      this.fails = fails;
    }

    @Override
    public SealedChannel channel() {
      return channel;
    }

    @Override
    public void start(Moment now) {
      nextStep = now;
    }

    @Override
    public void onDatagram(Moment now, String address, byte[] bytes, int length) {
      // no datagrams are sent in these tests
    }

    @Override
    public void step(Moment now) {
      nextStep = now.plus(Span.ofMillis(2));
      steps.countDown();
      if (fails && steps.getCount() == 2) {
        throw new IllegalStateException("third step");
      }
    }

    @Override
    public Moment nextStepAt() {
      return nextStep;
    }

    @Override
    public void end(Moment now) {
      // holds nothing to release
    }
  }

  private static String freeAddress() throws Exception {
    try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
      return "127.0.0.1:" + socket.getLocalPort();
    }
  }

  @Test
  void failingHandlerDoesNotAffectTheOthers() throws Exception {
    try (DatagramLoop loop = new DatagramLoop("test")) {
      // given
      List<PeriodicHandler> handlers = new ArrayList<>();
      for (int i = 0; i < 20; i++) {
        handlers.add(new PeriodicHandler(freeAddress(), i == 7));
      }
      // when
      handlers.forEach(loop::add);
      // then
      for (PeriodicHandler handler : handlers) {
        assertEquals(
            handler.fails, !handler.steps.await(handler.fails ? 100 : 5000, TimeUnit.MILLISECONDS));
      }
      assertEquals(2, handlers.get(7).steps.getCount());
    }
  }

  /**
   * Guards against a restarted handler that cannot bind its port: a closed channel holds the port
   * until the selector has processed its cancelled key.
   */
  @Test
  void portIsFreeAsSoonAsTheHandlerIsRemoved() throws Exception {
    try (DatagramLoop loop = new DatagramLoop("test")) {
      String address = freeAddress();
      for (int round = 0; round < 50; round++) {
        PeriodicHandler handler = new PeriodicHandler(address, false);
        assertTrue(loop.add(handler));
        assertTrue(loop.removeAndWait(handler));
      }
    }
  }
}
