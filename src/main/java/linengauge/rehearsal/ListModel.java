package linengauge.rehearsal;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import linengauge.Span;

/**
 * The journal service of a fleet: the boxes' list by events, told late, to each front on the
 * connection it keeps.
 */
final class ListModel implements Roads.Place {
  private static final int RECORD = 27;
  private static final int SERVING = 0;
  private static final String[] WORDS = {"up", "draining", "removed"};

  private record Reader(Pipe.End end, int front) {}

  private final Clockwork clock;
  private final Ledger ledger;
  private final Host host;
  private final List<byte[]> events = new ArrayList<>();
  private final Map<Long, byte[]> latest = new LinkedHashMap<>();
  private final List<Reader> readers = new ArrayList<>();
  private Span late = Span.ofMillis(300);

  private final String zonePrefix;

  ListModel(Clockwork clock, Ledger ledger, String zonePrefix) {
    this.zonePrefix = zonePrefix;
    this.clock = clock;
    this.ledger = ledger;
    this.host = Host.idle(clock);
    signs();
  }

  private void signs() {
    clock.after(
        Span.ofSeconds(1),
        () -> {
          ByteBuffer nothing =
              ByteBuffer.allocate(13).putInt(9).putLong(events.size()).put((byte) 0);
          readers.removeIf(r -> !r.end.isOpen());
          readers.forEach(r -> r.end.write(nothing.array()));
          signs();
        });
  }

  /** From now on changes are told so late. */
  void late(Span span) {
    late = span;
  }

  @Override
  public Host host() {
    return host;
  }

  @Override
  public boolean takes(Pipe.End end) {
    end.setHandlers(
        data -> {
          if (data.length != 8) {
            return;
          }
          long from = ByteBuffer.wrap(data).getLong();
          Reader r = new Reader(end, Integer.parseInt(end.peer().substring(1)));
          for (long n = from; n < events.size(); n++) {
            tell(r, events.get((int) n));
          }
          readers.add(r);
        },
        () -> {});
    return true;
  }

  /** The box's state has changed: it stands in the service a little later. */
  void changed(BoxModel box, int state) {
    clock.after(late, () -> now(box, state));
  }

  /** The same at once, as at the start of a day. */
  void now(BoxModel box, int state) {
    byte[] row = row(box, state);
    latest.put(box.id(), row);
    byte[] event =
        ByteBuffer.allocate(13 + RECORD)
            .putInt(9 + RECORD)
            .putLong(events.size() + 1)
            .put((byte) 2)
            .put(row)
            .array();
    events.add(event);
    readers.removeIf(r -> !r.end.isOpen());
    readers.forEach(r -> tell(r, event));
  }

  private void tell(Reader r, byte[] event) {
    ByteBuffer e = ByteBuffer.wrap(event);
    ledger.saw(
        "told",
        "front",
        r.front,
        "box",
        e.getInt(13) & 0xffffffffL,
        "state",
        e.get(13 + 10) == SERVING ? "serving" : "not");
    r.end.write(event);
  }

  private static byte[] row(BoxModel box, int state) {
    ByteBuffer b = ByteBuffer.allocate(RECORD).putInt((int) box.id());
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

  /** What a front that starts now is told under `known`. */
  String known() {
    StringBuilder rows = new StringBuilder();
    latest
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
                            WORDS[r[10]],
                            b.getInt(15) / 1000.0,
                            b.getLong(19)));
              }
            });
    return String.format(
        "{\"pos\":%d,\"entries\":[{\"pos\":%d,\"hosts\":{\"rev\":%d,\"all\":true,\"targets\":[%s]}}]}",
        events.size(), events.size(), events.size(), rows);
  }
}
