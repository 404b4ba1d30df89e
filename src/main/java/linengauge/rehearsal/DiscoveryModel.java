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
  private final TrafficRecorder ledger;
  private final SimulatedProcess process;
  private final List<byte[]> events = new ArrayList<>();
  private final Map<Long, byte[]> latestRecords = new LinkedHashMap<>();
  private final List<Subscriber> subscribers = new ArrayList<>();
  private Span reportDelay = Span.ofMillis(300);

  private final String zonePrefix;

  DiscoveryModel(VirtualClock clock, TrafficRecorder ledger, String zonePrefix) {
    this.zonePrefix = zonePrefix;
    this.clock = clock;
    this.ledger = ledger;
    this.process = SimulatedProcess.instantaneous(clock);
    scheduleKeepAlive();
  }

  private void scheduleKeepAlive() {
    clock.scheduleAfter(
        Span.ofSeconds(1),
        () -> {
          ByteBuffer nothing =
              ByteBuffer.allocate(13).putInt(9).putLong(events.size()).put((byte) 0);
          subscribers.removeIf(r -> !r.endpoint.isOpen());
          subscribers.forEach(r -> r.endpoint.write(nothing.array()));
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
  public boolean accept(SimulatedConnection.Endpoint end) {
    end.hears(
        data -> {
          if (data.length != 8) {
            return;
          }
          long from = ByteBuffer.wrap(data).getLong();
          Subscriber r = new Subscriber(end, Integer.parseInt(end.peer().substring(1)));
          for (long n = from; n < events.size(); n++) {
            send(r, events.get((int) n));
          }
          subscribers.add(r);
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
    byte[] row = encode(box, state);
    latestRecords.put(box.id(), row);
    byte[] event =
        ByteBuffer.allocate(13 + RECORD_BYTES)
            .putInt(9 + RECORD_BYTES)
            .putLong(events.size() + 1)
            .put((byte) 2)
            .put(row)
            .array();
    events.add(event);
    subscribers.removeIf(r -> !r.endpoint.isOpen());
    subscribers.forEach(r -> send(r, event));
  }

  private void send(Subscriber r, byte[] event) {
    ByteBuffer e = ByteBuffer.wrap(event);
    ledger.record(
        "told",
        "front",
        r.front,
        "box",
        e.getInt(13) & 0xffffffffL,
        "state",
        e.get(13 + 10) == STATE_SERVING ? "serving" : "not");
    r.endpoint.write(event);
  }

  private static byte[] encode(BoxModel box, int state) {
    ByteBuffer b = ByteBuffer.allocate(RECORD_BYTES).putInt((int) box.id());
    String[] address = box.address().split("[.:]");
    for (int i = 0; i < 4; i++) {
      b.put((byte) Integer.parseInt(address[i]));
    }
    return b.putShort((short) Integer.parseInt(address[4]))
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
    StringBuilder rows = new StringBuilder();
    latestRecords
        .values()
        .forEach(
            r -> {
              ByteBuffer b = ByteBuffer.wrap(r);
              if (b.get(10) < 2) {
                rows.append(rows.length() == 0 ? "" : ",")
                    .append(
                        String.format(
                            "{\"uid\":\"s-%08x\",\"endpoint\":\"%d.%d.%d.%d:%d\","
                                + "\"az\":\"%s%d\",\"model\":\"box\",\"pod_group\":%d,\"state\":\"%s\",\"capacity_hint\":%.3f,\"boot_ms\":%d}",
                            b.getInt(0),
                            r[4] & 0xff,
                            r[5] & 0xff,
                            r[6] & 0xff,
                            r[7] & 0xff,
                            b.getShort(8) & 0xffff,
                            zonePrefix,
                            r[11],
                            b.getShort(13),
                            STATE_NAMES[r[10]],
                            b.getInt(15) / 1000.0,
                            b.getLong(19)));
              }
            });
    return String.format(
        "{\"pos\":%d,\"entries\":[{\"pos\":%d,\"hosts\":{\"rev\":%d,\"all\":true,\"targets\":[%s]}}]}",
        events.size(), events.size(), events.size(), rows);
  }
}
