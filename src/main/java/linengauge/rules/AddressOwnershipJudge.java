package linengauge.rules;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Who held shared addresses, judged from what nodes sent on the LAN (docs/protocol/traffic.md):
 * while nothing is wrong one node claims an address and no other does for longer than a bound; a
 * node that stood still claims nothing as it wakes.
 */
public final class AddressOwnershipJudge {
  private static final ObjectMapper JSON = new ObjectMapper();

  /** What was found. Spans in microseconds. */
  public static final class Outcome {
    /**
     * Advertisements that claim an address in quiet times, spans without one, and nodes that woke.
     */
    public long claims;

    public long gaps;
    public long resumedNodes;

    /** The longest that two claimed one address in quiet times, and the longest that none did. */
    public long longestOverlapMicros;

    public long longestGapMicros;

    /** Changes of who announced an address last. */
    public long handovers;

    /** The same, for each VRID, as moments. */
    public final Map<Long, List<Long>> handoversAt = new TreeMap<>();

    /**
     * Requests answered; more than once; and by a viewing of a front that they were not handed to.
     */
    public long answered;

    public long answeredTwice;
    public long answeredByOther;
    public final List<String> breaches = new ArrayList<>();
  }

  private static final class Claim {
    private long since;
    private long last = Long.MIN_VALUE / 4;
  }

  private final long interval;
  private final long bothBound;
  private final long noneBound;
  private final Outcome out = new Outcome();
  private final Map<String, Claim> claims = new HashMap<>();
  private final Map<Long, Long> lastByVrid = new HashMap<>();
  private final Map<Long, Long> holder = new HashMap<>();
  private final Map<Long, Long> stoppedAt = new HashMap<>();
  private final Map<Long, Long> wokeAt = new HashMap<>();
  private final Set<String> answers = new HashSet<>();
  private boolean quiet;
  private long quietSince;

  private AddressOwnershipJudge(long intervalMicros, long bothBound, long noneBound) {
    this.interval = intervalMicros;
    this.bothBound = bothBound;
    this.noneBound = noneBound;
  }

  /**
   * Judges a record.
   *
   * @param intervalMs of advertisements
   * @param bothMs how long two may claim an address in quiet times, at a handover or after the
   *     network has healed
   * @param noneMs how long none may claim one in quiet times
   */
  public static Outcome judge(List<String> lines, long intervalMs, long bothMs, long noneMs)
      throws InvalidRecordException {
    AddressOwnershipJudge h =
        new AddressOwnershipJudge(1000 * intervalMs, 1000 * bothMs, 1000 * noneMs);
    long number = 0;
    for (String line : lines) {
      number++;
      try {
        h.take(JSON.readTree(line));
      } catch (JacksonException e) {
        throw new InvalidRecordException(number, "not JSON");
      }
    }
    return h.out;
  }

  private void take(JsonNode l) {
    long at = l.path("at").asLong();
    switch (l.path("what").asText()) {
      case "pair-trouble" -> quiet = false;
      case "pair-quiet" -> {
        quiet = true;
        quietSince = at;
        lastByVrid.replaceAll((v, t) -> at);
      }
      case "front-stopped" -> stoppedAt.put(l.path("front").asLong(), at);
      case "front-continued" -> wokeAt.put(l.path("front").asLong(), at);
      case "announced" -> announced(l.path("vrid").asLong(), l.path("node").asLong(), at);
      case "answered" ->
          answered(l.path("ask").asText(), l.path("viewing").asText(""), l.path("front").asLong());
      case "advert" -> {
        if (l.path("priority").asInt() > 0) {
          claimed(l.path("vrid").asLong(), l.path("node").asLong(), at);
        }
      }
      default -> {}
    }
  }

  private void announced(long vrid, long node, long at) {
    Long before = holder.put(vrid, node);
    if (before != null && before != node) {
      out.handovers++;
      out.handoversAt.computeIfAbsent(vrid, v -> new ArrayList<>()).add(at);
    }
  }

  /** The front of a viewing stands first in its id. */
  private void answered(String ask, String viewing, long front) {
    if (answers.add(ask)) {
      out.answered++;
    } else {
      out.answeredTwice++;
    }
    out.answeredByOther += viewing.contains("-") && !viewing.startsWith(front + "-") ? 1 : 0;
  }

  private void claimed(long vrid, long node, long at) {
    woken(vrid, node, at);
    Claim mine = claims.computeIfAbsent(vrid + "/" + node, k -> new Claim());
    if (at - mine.last > 3 * interval) {
      mine.since = at;
    }
    mine.last = at;
    Long last = lastByVrid.put(vrid, at);
    if (!quiet) {
      return;
    }
    out.claims++;
    if (last != null) {
      out.gaps++;
      long none = at - Math.max(last, quietSince);
      out.longestGapMicros = Math.max(out.longestGapMicros, none);
      if (none > noneBound) {
        out.breaches.add(
            at + " address " + vrid + ": nobody claimed it for " + none / 1000 + " ms");
      }
    }
    claims.forEach(
        (key, other) -> {
          if (other != mine && key.startsWith(vrid + "/") && other.last >= mine.since) {
            long both = other.last - Math.max(Math.max(mine.since, other.since), quietSince);
            out.longestOverlapMicros = Math.max(out.longestOverlapMicros, both);
            if (both > bothBound) {
              out.breaches.add(
                  at
                      + " address "
                      + vrid
                      + ": claimed by "
                      + key.substring(key.indexOf('/') + 1)
                      + " and "
                      + node
                      + " for "
                      + both / 1000
                      + " ms");
            }
          }
        });
  }

  /**
   * A node that stood still for over three intervals, and another has the address: it must have
   * stepped down first.
   */
  private void woken(long vrid, long node, long at) {
    Long woke = wokeAt.get(node);
    Long stopped = stoppedAt.get(node);
    if (woke == null || stopped == null) {
      return;
    }
    boolean another = holder.getOrDefault(vrid, node) != node;
    if (woke - stopped > 4 * interval && at - woke < 2 * interval && another) {
      out.breaches.add(
          at
              + " address "
              + vrid
              + ": node "
              + node
              + " claimed it "
              + (at - woke) / 1000
              + " ms after it woke, and another has it");
    }
    if (at - woke >= 2 * interval) {
      out.resumedNodes++;
      wokeAt.remove(node);
    }
  }
}
