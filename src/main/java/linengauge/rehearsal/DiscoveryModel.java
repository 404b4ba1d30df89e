package linengauge.rehearsal;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import linengauge.Span;

/**
 * The discovery service of a fleet: it sends the events of the box table, with a delay, to each
 * front on its open connection.
 */
final class DiscoveryModel implements NetworkModel.Acceptor {
  private static final int RECORD_BYTES = 27;
  private static final int STATE_SERVING = 0;
  private static final String[] STATE_NAMES = {"up", "draining", "removed"};

  private record Subscriber(SimulatedConnection.Endpoint endpoint, int front) {}

  private final VirtualClock clock;
  private final TrafficRecorder recorder;
  private final SimulatedProcess process;
  private final List<byte[]> events = new ArrayList<>();
  private final Map<Long, byte[]> latestRecords = new LinkedHashMap<>();
  private final List<Subscriber> subscribers = new ArrayList<>();
  private Span reportDelay = Span.ofMillis(300);

  private final String zonePrefix;

  DiscoveryModel(VirtualClock clock, TrafficRecorder recorder, String zonePrefix) {
    this.zonePrefix = zonePrefix;
    this.clock = clock;
    this.recorder = recorder;
    this.process = SimulatedProcess.instantaneous(clock);
    scheduleKeepAlive();
  }

  private void scheduleKeepAlive() {
    clock.scheduleAfter(
        Span.ofSeconds(1),
        () -> {
          ByteBuffer keepAlive =
              ByteBuffer.allocate(13).putInt(9).putLong(events.size()).put((byte) 0);
          subscribers.removeIf(subscriber -> !subscriber.endpoint.isOpen());
          subscribers.forEach(subscriber -> subscriber.endpoint.write(keepAlive.array()));
          scheduleKeepAlive();
        });
  }

  /** Sets the delay after which later changes are reported. */
  void setReportDelay(Span span) {
    reportDelay = span;
  }

  @Override
  public SimulatedProcess process() {
    return process;
  }

  @Override
  public boolean accept(SimulatedConnection.Endpoint endpoint) {
    endpoint.setHandlers(
        data -> {
          if (data.length != 8) {
            return;
          }
          long position = ByteBuffer.wrap(data).getLong();
          Subscriber subscriber =
              new Subscriber(endpoint, Integer.parseInt(endpoint.peer().substring(1)));
          for (long number = position; number < events.size(); number++) {
            send(subscriber, events.get((int) number));
          }
          subscribers.add(subscriber);
        },
        () -> {});
    return true;
  }

  /** Reports a box's new state after the delay. */
  void changeLater(BoxModel box, int state) {
    clock.scheduleAfter(reportDelay, () -> changeNow(box, state));
  }

  /** Reports a box's new state at once, as at the start of the simulation. */
  void changeNow(BoxModel box, int state) {
    byte[] encoded = encode(box, state);
    latestRecords.put(box.id(), encoded);
    byte[] event =
        ByteBuffer.allocate(13 + RECORD_BYTES)
            .putInt(9 + RECORD_BYTES)
            .putLong(events.size() + 1)
            .put((byte) 2)
            .put(encoded)
            .array();
    events.add(event);
    subscribers.removeIf(subscriber -> !subscriber.endpoint.isOpen());
    subscribers.forEach(subscriber -> send(subscriber, event));
  }

  private void send(Subscriber subscriber, byte[] event) {
    ByteBuffer buffer = ByteBuffer.wrap(event);
    recorder.record(
        "told",
        "front",
        subscriber.front,
        "box",
        buffer.getInt(13) & 0xffffffffL,
        "state",
        buffer.get(13 + 10) == STATE_SERVING ? "serving" : "not");
    subscriber.endpoint.write(event);
  }

  private static byte[] encode(BoxModel box, int state) {
    ByteBuffer buffer = ByteBuffer.allocate(RECORD_BYTES).putInt((int) box.id());
    String[] address = box.address().split("[.:]");
    for (int i = 0; i < 4; i++) {
      buffer.put((byte) Integer.parseInt(address[i]));
    }
    return buffer
        .putShort((short) Integer.parseInt(address[4]))
        .put((byte) state)
        .put((byte) box.zone())
        .put((byte) 0)
        .putShort((short) box.cell())
        .putInt((int) Math.round(box.weight() * 1000))
        .putLong(box.bootMs())
        .array();
  }

  /** The value of `known` in the configuration of a front that starts now. */
  String knownState() {
    StringBuilder targets = new StringBuilder();
    latestRecords
        .values()
        .forEach(
            encoded -> {
              ByteBuffer buffer = ByteBuffer.wrap(encoded);
              if (buffer.get(10) < 2) {
                targets
                    .append(targets.length() == 0 ? "" : ",")
                    .append(
                        String.format(
                            "{\"uid\":\"s-%08x\",\"endpoint\":\"%d.%d.%d.%d:%d\","
                                + "\"az\":\"%s%d\",\"model\":\"box\",\"pod_group\":%d,\"state\":\"%s\",\"capacity_hint\":%.3f,\"boot_ms\":%d}",
                            buffer.getInt(0),
                            encoded[4] & 0xff,
                            encoded[5] & 0xff,
                            encoded[6] & 0xff,
                            encoded[7] & 0xff,
                            buffer.getShort(8) & 0xffff,
                            zonePrefix,
                            encoded[11],
                            buffer.getShort(13),
                            STATE_NAMES[encoded[10]],
                            buffer.getInt(15) / 1000.0,
                            buffer.getLong(19)));
              }
            });
    return String.format(
        "{\"pos\":%d,\"entries\":[{\"pos\":%d,\"hosts\":{\"rev\":%d,\"all\":true,\"targets\":[%s]}}]}",
        events.size(), events.size(), events.size(), targets);
  }
}
