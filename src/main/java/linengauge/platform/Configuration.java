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
import linengauge.platform.codec.JournalFrames;
import linengauge.platform.codec.Texts;
import linengauge.session.BoxTable;
import linengauge.session.BoxTable.ListedBox;
import linengauge.settings.InvalidSettingsException;
import linengauge.settings.JsonTree;
import linengauge.settings.Settings;

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
    Settings briefing,
    List<Piece> known) {
  /** One event of the box list. */
  public record Piece(long number, boolean whole, List<ListedBox> rows) {}

  /** Reads and checks the whole file; throws with one line that says what is wrong with it. */
  static Configuration read(Path file) throws InvalidSettingsException {
    try {
      return read(Files.readAllBytes(file));
    } catch (IOException e) {
      throw new InvalidSettingsException("it cannot be read: " + e);
    }
  }

  /** The same of what stands in such a file. */
  public static Configuration read(byte[] text) throws InvalidSettingsException {
    try (JsonParser p = new JsonFactory().createParser(text)) {
      JsonToken first = p.nextToken();
      if (first != JsonToken.START_OBJECT
          || !(JsonTree.read(p, first) instanceof Map<?, ?> all)
          || p.nextToken() != null) {
        throw new InvalidSettingsException("it should hold one object");
      }
      if (!(all.get("settings") instanceof Map<?, ?> settings)
          || !(all.get("limits") instanceof Map<?, ?> limits)
          || !(all.get("known") instanceof Map<?, ?> known)) {
        throw new InvalidSettingsException("'settings', 'limits' and 'known' should be objects");
      }
      Settings briefing = Settings.read(settings);
      if (briefing.packageNames().isEmpty() || briefing.deployment().ladderKb().length == 0) {
        throw new InvalidSettingsException("'settings' name no packages or no ladder");
      }
      return new Configuration(
          address(all, "listen"),
          address(all, "journal"),
          seed(all.get("seed")),
          (int) whole(limits, "sockets", 1024),
          briefing,
          known(known, briefing));
    } catch (JsonProcessingException e) {
      throw new InvalidSettingsException("it is no JSON: " + e.getOriginalMessage());
    } catch (IOException e) {
      throw new InvalidSettingsException("it cannot be read: " + e);
    }
  }

  private static String address(Map<?, ?> from, String key) throws InvalidSettingsException {
    if (from.get(key) instanceof String s && port(s) > 0 && !host(s).isEmpty()) {
      return s;
    }
    throw new InvalidSettingsException("'" + key + "' should be host:port");
  }

  static String host(String address) {
    return address.substring(0, Math.max(0, address.lastIndexOf(':')));
  }

  /** The port of host:port, or -1. */
  static int port(String address) {
    long port = Texts.whole(address.substring(address.lastIndexOf(':') + 1));
    return port > 0 && port < 65536 ? (int) port : -1;
  }

  private static long seed(Object given) throws InvalidSettingsException {
    if (given instanceof String s) {
      try {
        return Long.parseUnsignedLong(s, 16);
      } catch (NumberFormatException e) {
        // said below
      }
    }
    throw new InvalidSettingsException("'seed' should be up to 16 hex digits");
  }

  private static long whole(Map<?, ?> from, String key, long absent)
      throws InvalidSettingsException {
    Object v = from.get(key);
    if (v == null) {
      return absent;
    }
    if (v instanceof Double d && d == Math.rint(d)) {
      return d.longValue();
    }
    throw new InvalidSettingsException("'" + key + "' should be a whole number");
  }

  private static List<Piece> known(Map<?, ?> known, Settings briefing)
      throws InvalidSettingsException {
    List<Piece> pieces = new ArrayList<>();
    if (known.get("entries") instanceof List<?> entries) {
      for (Object one : entries) {
        if (!(one instanceof Map<?, ?> entry)
            || !(entry.get("hosts") instanceof Map<?, ?> hosts)
            || !(hosts.get("targets") instanceof List<?> targets)) {
          throw new InvalidSettingsException(
              "an entry of 'known' should hold 'pos' and 'hosts' with 'targets'");
        }
        List<ListedBox> rows = new ArrayList<>();
        for (Object t : targets) {
          rows.add(row(t, briefing));
        }
        pieces.add(new Piece(whole(entry, "pos", 0), Boolean.TRUE.equals(hosts.get("all")), rows));
      }
    }
    return pieces;
  }

  private static ListedBox row(Object target, Settings briefing) throws InvalidSettingsException {
    if (!(target instanceof Map<?, ?> t)
        || !(t.get("uid") instanceof String uid)
        || Texts.box(uid) < 0) {
      throw new InvalidSettingsException("a box of 'known' should be an object with 'uid'");
    }
    BoxTable.State state =
        switch (String.valueOf(t.get("state"))) {
          case "up" -> BoxTable.State.SERVING;
          case "draining" -> BoxTable.State.DRAINING;
          case "removed" -> BoxTable.State.GONE;
          default -> throw new InvalidSettingsException("box " + uid + " is in no known state");
        };
    Moment started = JournalFrames.startedAt(whole(t, "boot_ms", 0));
    String address = t.get("endpoint") instanceof String s ? s : null;
    double weight = t.get("capacity_hint") instanceof Double d ? d : 1;
    return new ListedBox(
        Texts.box(uid),
        address,
        weight,
        (int) whole(t, "pod_group", 0),
        Math.max(0, briefing.kindNames().indexOf(t.get("model"))),
        state,
        Math.max(0, briefing.buildingNames().indexOf(t.get("az"))),
        started);
  }
}
