package linengauge.consensus.explore;

import java.util.SplittableRandom;
import java.util.function.Consumer;
import linengauge.Moment;
import linengauge.Span;
import linengauge.consensus.RaftMessage;
import linengauge.virtualtime.EventQueue;

/** Network between simulated processes: loses, delays, reorders and duplicates messages. */
final class SimulatedNetwork {
  private static final int MIN_DELAY_MICROS = 200;
  private static final int USUAL_JITTER_MICROS = 3_000;
  private static final int LATE_JITTER_MICROS = 900_000;
  private static final int SLOW_DISK_DELAY_MICROS = 150_000;

  private final EventQueue time;
  private final FaultPlan faults;
  private final SplittableRandom random;
  private long messages;
  private long bytes;

  SimulatedNetwork(EventQueue time, FaultPlan faults, SplittableRandom random) {
    this.time = time;
    this.faults = faults;
    this.random = random;
  }

  long messages() {
    return messages;
  }

  long bytes() {
    return bytes;
  }

  void deliver(
      SimulatedProcess from,
      SimulatedProcess to,
      RaftMessage message,
      Consumer<RaftMessage> receiver) {
    byte[] sent = message.bytes();
    messages++;
    bytes += sent.length;
    Moment now = time.now();
    boolean lossy = isOnEither(Fault.Kind.LOSS, from, to);
    if (faults.isCut(from.number(), to.number(), now) || lossy && random.nextInt(10) < 3) {
      return;
    }
    boolean late = isOnEither(Fault.Kind.LATE, from, to);
    boolean slowDisk = faults.isOn(Fault.Kind.SLOW_DISK, from.number(), now);
    int copies = random.nextInt(50) == 0 ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      int delayMicros =
          MIN_DELAY_MICROS + random.nextInt(late ? LATE_JITTER_MICROS : USUAL_JITTER_MICROS);
      Span delay = new Span(delayMicros + (slowDisk ? SLOW_DISK_DELAY_MICROS : 0));
      time.schedule(now.plus(delay), () -> arrive(to, sent, receiver));
    }
  }

  private boolean isOnEither(Fault.Kind kind, SimulatedProcess from, SimulatedProcess to) {
    Moment now = time.now();
    return faults.isOn(kind, from.number(), now) || faults.isOn(kind, to.number(), now);
  }

  private static void arrive(SimulatedProcess to, byte[] sent, Consumer<RaftMessage> receiver) {
    if (to.isUp()) {
      RaftMessage message = RaftMessage.read(sent);
      to.run(() -> receiver.accept(message));
    }
  }
}
