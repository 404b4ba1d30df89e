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

/** One thread, many parts: each is served, and one that fails takes nobody with it. */
@Timeout(value = 20, unit = TimeUnit.SECONDS)
class DatagramLoopTest {
  private static final byte[] KEY = "a key of the whole fleet".getBytes();
  private static final SealedChannel.DatagramFormat FORM =
      new SealedChannel.DatagramFormat(2, 1, 4, 100);
  private static final int STEPS = 5;

  /** Steps every few milliseconds; may fail at its third step. */
  private static final class Ticking implements DatagramLoop.Handler {
    private final SealedChannel channel;
    private final boolean fails;
    private final CountDownLatch steps = new CountDownLatch(STEPS);
    private Moment next;

    private Ticking(String address, boolean fails) throws Exception {
      this.channel = new SealedChannel(FORM, address, 1, KEY);
      this.fails = fails;
    }

    @Override
    public SealedChannel channel() {
      return channel;
    }

    @Override
    public void start(Moment now) {
      next = now;
    }

    @Override
    public void onDatagram(Moment now, String address, byte[] bytes, int length) {
      // nobody sends
    }

    @Override
    public void step(Moment now) {
      next = now.plus(Span.ofMillis(2));
      steps.countDown();
      if (fails && steps.getCount() == 2) {
        throw new IllegalStateException("at its third step");
      }
    }

    @Override
    public Moment nextStepAt() {
      return next;
    }

    @Override
    public void end(Moment now) {
      // nothing to say
    }
  }

  private static String freeAddress() throws Exception {
    try (DatagramSocket free = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
      return "127.0.0.1:" + free.getLocalPort();
    }
  }

  @Test
  void aPartThatFailsEndsAlone() throws Exception {
    try (DatagramLoop loop = new DatagramLoop("test")) {
      // given
      List<Ticking> parts = new ArrayList<>();
      for (int i = 0; i < 20; i++) {
        parts.add(new Ticking(freeAddress(), i == 7));
      }
      // when
      parts.forEach(loop::add);
      // then
      for (Ticking part : parts) {
        assertEquals(part.fails, !part.steps.await(part.fails ? 100 : 5000, TimeUnit.MILLISECONDS));
      }
      assertEquals(2, parts.get(7).steps.getCount());
    }
  }

  /**
   * Guards against a next life that cannot have its port: a closed channel keeps it for a while.
   */
  @Test
  void thePortOfAPartThatWasRemovedCanBeHadAtOnce() throws Exception {
    try (DatagramLoop loop = new DatagramLoop("test")) {
      String address = freeAddress();
      for (int life = 0; life < 50; life++) {
        Ticking part = new Ticking(address, false);
        assertTrue(loop.add(part));
        assertTrue(loop.removeAndWait(part));
      }
    }
  }
}
