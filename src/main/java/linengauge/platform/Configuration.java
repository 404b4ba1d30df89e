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
import linengauge.platform.codec.JournalFrames;
import linengauge.platform.codec.Texts;
import linengauge.session.BoxTable;
import linengauge.session.BoxTable.Row;

/**
 * The configuration with which the platform starts a front (docs/protocol/platform.md,
 * "Configuration").
 *
 * @param listenAddress where the front listens for clients, as host:port
 * @param journalAddress the journal service, as host:port
 * @param seed the seed of all random decisions
 * @param descriptorLimit how many files and sockets the process may have open
 * @param settings the settings of the module
 * @param knownEvents the discovery events known at the start
 */
public record Configuration(
    String listenAddress,
    String journalAddress,
    long seed,
    int descriptorLimit,
    Briefing settings,
    List<DiscoveryEvent> knownEvents) {
  /** One discovery event: the full server list, or changes of it. */
  public record DiscoveryEvent(long number, boolean full, List<Row> rows) {}

  /** Reads and validates the file; the message of the exception says what is wrong with it. */
  static Configuration read(Path file) throws BadBriefing {
    try {
      return read(Files.readAllBytes(file));
    } catch (IOException e) {
      throw new BadBriefing("it cannot be read: " + e);
    }
  }

  /** Parses and validates the content of a configuration file. */
  public static Configuration read(byte[] text) throws BadBriefing {
    try (JsonParser parser = new JsonFactory().createParser(text)) {
      JsonToken first = parser.nextToken();
      if (first != JsonToken.START_OBJECT
          || !(JsonTree.read(parser, first) instanceof Map<?, ?> root)
          || parser.nextToken() != null) {
        throw new BadBriefing("it should contain one JSON object");
      }
      if (!(root.get("settings") instanceof Map<?, ?> settingsObject)
          || !(root.get("limits") instanceof Map<?, ?> limitsObject)
          || !(root.get("known") instanceof Map<?, ?> knownObject)) {
        throw new BadBriefing("'settings', 'limits' and 'known' should be objects");
      }
      Briefing settings = Briefing.read(settingsObject);
      if (settings.packages().isEmpty() || settings.headend().ladderKb().length == 0) {
        throw new BadBriefing("'settings' name no packages or no ladder");
      }
      return new Configuration(
          requireAddress(root, "listen"),
          requireAddress(root, "journal"),
          parseSeed(root.get("seed")),
          (int) wholeNumber(limitsObject, "sockets", 1024),
          settings,
          parseKnownEvents(knownObject, settings));
    } catch (JsonProcessingException e) {
      throw new BadBriefing("it is not valid JSON: " + e.getOriginalMessage());
    } catch (IOException e) {
      throw new BadBriefing("it cannot be read: " + e);
    }
  }

  private static String requireAddress(Map<?, ?> object, String key) throws BadBriefing {
    if (object.get(key) instanceof String address
        && port(address) > 0
        && !host(address).isEmpty()) {
      return address;
    }
    throw new BadBriefing("'" + key + "' should be host:port");
  }

  static String host(String address) {
    return address.substring(0, Math.max(0, address.lastIndexOf(':')));
  }

  /** The port of host:port, or -1 if there is no valid one. */
  static int port(String address) {
    long port = Texts.whole(address.substring(address.lastIndexOf(':') + 1));
    return port > 0 && port < 65536 ? (int) port : -1;
  }

  private static long parseSeed(Object value) throws BadBriefing {
    if (value instanceof String text) {
      try {
        return Long.parseUnsignedLong(text, 16);
      } catch (NumberFormatException e) {
        // reported below
      }
    }
    throw new BadBriefing("'seed' should be up to 16 hex digits");
  }

  private static long wholeNumber(Map<?, ?> object, String key, long defaultValue)
      throws BadBriefing {
    Object value = object.get(key);
    if (value == null) {
      return defaultValue;
    }
    if (value instanceof Double number && number == Math.rint(number)) {
      return number.longValue();
    }
    throw new BadBriefing("'" + key + "' should be a whole number");
  }

  private static List<DiscoveryEvent> parseKnownEvents(Map<?, ?> knownObject, Briefing settings)
      throws BadBriefing {
    List<DiscoveryEvent> events = new ArrayList<>();
    if (knownObject.get("entries") instanceof List<?> entries) {
      for (Object item : entries) {
        if (!(item instanceof Map<?, ?> entry)
            || !(entry.get("hosts") instanceof Map<?, ?> hosts)
            || !(hosts.get("targets") instanceof List<?> targets)) {
          throw new BadBriefing(
              "an entry of 'known' should contain 'pos' and 'hosts' with 'targets'");
        }
        List<Row> rows = new ArrayList<>();
        for (Object target : targets) {
          rows.add(parseRow(target, settings));
        }
        events.add(
            new DiscoveryEvent(
                wholeNumber(entry, "pos", 0), Boolean.TRUE.equals(hosts.get("all")), rows));
      }
    }
    return events;
  }

  private static Row parseRow(Object item, Briefing settings) throws BadBriefing {
    if (!(item instanceof Map<?, ?> target)
        || !(target.get("uid") instanceof String uid)
        || Texts.box(uid) < 0) {
      throw new BadBriefing("a server of 'known' should be an object with 'uid'");
    }
    BoxTable.State state =
        switch (String.valueOf(target.get("state"))) {
          case "up" -> BoxTable.State.SERVING;
          case "draining" -> BoxTable.State.DRAINING;
          case "removed" -> BoxTable.State.GONE;
          default -> throw new BadBriefing("server " + uid + " has an unknown state");
        };
    Moment startedAt = JournalFrames.startedAt(wholeNumber(target, "boot_ms", 0));
    String address = target.get("endpoint") instanceof String text ? text : null;
    double weight = target.get("capacity_hint") instanceof Double number ? number : 1;
    return new Row(
        Texts.box(uid),
        address,
        weight,
        (int) wholeNumber(target, "pod_group", 0),
        Math.max(0, settings.kinds().indexOf(target.get("model"))),
        state,
        Math.max(0, settings.buildings().indexOf(target.get("az"))),
        startedAt);
  }
}
