package linengauge.platform;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import linengauge.Moment;
import linengauge.briefing.BadBriefing;
import linengauge.briefing.Briefing;
import linengauge.briefing.JsonTree;
import linengauge.platform.codec.JournalFrameCodec;
import linengauge.platform.codec.TextFormat;
import linengauge.session.BoxTable;
import linengauge.session.BoxTable.Row;

/**
 * Where and as what the platform posts this front: the configuration that it is started with
 * (docs/protocol/platform.md, "Configuration"). Descriptors: how many files and sockets the process
 * may hold.
 */
public record Configuration(
    String listen,
    String journal,
    long seed,
    int descriptors,
    Briefing briefing,
    List<Piece> known) {
  /** One event of the box list. */
  public record Piece(long number, boolean whole, List<Row> rows) {}

  /** Reads and checks the whole file; throws with one line that says what is wrong with it. */
  static Configuration read(Path file) throws BadBriefing {
    try {
      return read(Files.readAllBytes(file));
    } catch (IOException e) {
      throw new BadBriefing("it cannot be read: " + e);
    }
  }

  /** The same of what stands in such a file. */
  public static Configuration read(byte[] text) throws BadBriefing {
    try (JsonParser p = new JsonFactory().createParser(text)) {
      JsonToken first = p.nextToken();
      if (first != JsonToken.START_OBJECT
          || !(JsonTree.read(p, first) instanceof Map<?, ?> all)
          || p.nextToken() != null) {
        throw new BadBriefing("it should hold one object");
      }
      if (!(all.get("settings") instanceof Map<?, ?> settings)
          || !(all.get("limits") instanceof Map<?, ?> limits)
          || !(all.get("known") instanceof Map<?, ?> known)) {
        throw new BadBriefing("'settings', 'limits' and 'known' should be objects");
      }
      Briefing briefing = Briefing.read(settings);
      if (briefing.packages().isEmpty() || briefing.headend().ladderKb().length == 0) {
        throw new BadBriefing("'settings' name no packages or no ladder");
      }
      return new Configuration(
          address(all, "listen"),
          address(all, "journal"),
          seed(all.get("seed")),
          (int) whole(limits, "sockets", 1024),
          briefing,
          known(known, briefing));
    } catch (JsonProcessingException e) {
      throw new BadBriefing("it is no JSON: " + e.getOriginalMessage());
    } catch (IOException e) {
      throw new BadBriefing("it cannot be read: " + e);
    }
  }

  private static String address(Map<?, ?> from, String key) throws BadBriefing {
    if (from.get(key) instanceof String s && port(s) > 0 && !host(s).isEmpty()) {
      return s;
    }
    throw new BadBriefing("'" + key + "' should be host:port");
  }

  static String host(String address) {
    return address.substring(0, Math.max(0, address.lastIndexOf(':')));
  }

  /** The port of host:port, or -1. */
  static int port(String address) {
    long port = TextFormat.parseWholeNumber(address.substring(address.lastIndexOf(':') + 1));
    return port > 0 && port < 65536 ? (int) port : -1;
  }

  private static long seed(Object given) throws BadBriefing {
    if (given instanceof String s) {
      try {
        return Long.parseUnsignedLong(s, 16);
      } catch (NumberFormatException e) {
        // said below
      }
    }
    throw new BadBriefing("'seed' should be up to 16 hex digits");
  }

  private static long whole(Map<?, ?> from, String key, long absent) throws BadBriefing {
    Object v = from.get(key);
    if (v == null) {
      return absent;
    }
    if (v instanceof Double d && d == Math.rint(d)) {
      return d.longValue();
    }
    throw new BadBriefing("'" + key + "' should be a whole number");
  }

  private static List<Piece> known(Map<?, ?> known, Briefing briefing) throws BadBriefing {
    List<Piece> pieces = new ArrayList<>();
    if (known.get("entries") instanceof List<?> entries) {
      for (Object one : entries) {
        if (!(one instanceof Map<?, ?> entry)
            || !(entry.get("hosts") instanceof Map<?, ?> hosts)
            || !(hosts.get("targets") instanceof List<?> targets)) {
          throw new BadBriefing("an entry of 'known' should hold 'pos' and 'hosts' with 'targets'");
        }
        List<Row> rows = new ArrayList<>();
        for (Object t : targets) {
          rows.add(row(t, briefing));
        }
        pieces.add(new Piece(whole(entry, "pos", 0), Boolean.TRUE.equals(hosts.get("all")), rows));
      }
    }
    return pieces;
  }

  private static Row row(Object target, Briefing briefing) throws BadBriefing {
    if (!(target instanceof Map<?, ?> t)
        || !(t.get("uid") instanceof String uid)
        || TextFormat.parseServerId(uid) < 0) {
      throw new BadBriefing("a box of 'known' should be an object with 'uid'");
    }
    BoxTable.State state =
        switch (String.valueOf(t.get("state"))) {
          case "up" -> BoxTable.State.SERVING;
          case "draining" -> BoxTable.State.DRAINING;
          case "removed" -> BoxTable.State.GONE;
          default -> throw new BadBriefing("box " + uid + " is in no known state");
        };
    Moment started = JournalFrameCodec.bootTime(whole(t, "boot_ms", 0));
    String address = t.get("endpoint") instanceof String s ? s : null;
    double weight = t.get("capacity_hint") instanceof Double d ? d : 1;
    return new Row(
        TextFormat.parseServerId(uid),
        address,
        weight,
        (int) whole(t, "pod_group", 0),
        Math.max(0, briefing.kinds().indexOf(t.get("model"))),
        state,
        Math.max(0, briefing.buildings().indexOf(t.get("az"))),
        started);
  }
}
