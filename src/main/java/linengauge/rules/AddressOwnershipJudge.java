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
 * Checks the ownership of shared addresses from what nodes send on the LAN
 * (docs/protocol/traffic.md): while no fault is active, one node claims an address and no second
 * node does so for longer than a limit; a node that resumes after a process pause does not claim an
 * address that another node owns.
 */
public final class AddressOwnershipJudge {
  private static final ObjectMapper JSON = new ObjectMapper();

  /** The results of the check. Spans are in microseconds. */
  public static final class Outcome {
    /**
     * Counts taken while no fault is active: advertisements that claim an address, gaps between
     * them, and nodes that resumed after a pause.
     */
    public long claims;

    public long gaps;
    public long resumedNodes;

    /**
     * The longest time that two nodes claim one address while no fault is active, and the longest
     * time that none does.
     */
    public long longestOverlapMicros;

    public long longestGapMicros;

    /** Changes of the node that announced an address last. */
    public long handovers;

    /** The moments of the handovers, by VRID. */
    public final Map<Long, List<Long>> handoversAt = new TreeMap<>();

    /**
     * Requests answered, requests answered more than once, and requests answered with a viewing of
     * a front that did not receive them.
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
  private final long overlapLimit;
  private final long gapLimit;
  private final Outcome outcome = new Outcome();
  private final Map<String, Claim> claims = new HashMap<>();
  private final Map<Long, Long> lastByVrid = new HashMap<>();
  private final Map<Long, Long> ownerByVrid = new HashMap<>();
  private final Map<Long, Long> stoppedAt = new HashMap<>();
  private final Map<Long, Long> resumedAt = new HashMap<>();
  private final Set<String> answers = new HashSet<>();
  private boolean faultFree;
  private long faultFreeSince;

  private AddressOwnershipJudge(long intervalMicros, long overlapLimit, long gapLimit) {
    this.interval = intervalMicros;
    this.overlapLimit = overlapLimit;
    this.gapLimit = gapLimit;
  }

  /**
   * Judges a record.
   *
   * @param intervalMs the advertisement interval
   * @param overlapLimitMs how long two nodes may claim one address while no fault is active: at a
   *     handover or after the network has recovered
   * @param gapLimitMs how long no node may claim an address while no fault is active
   */
  public static Outcome judge(
      List<String> lines, long intervalMs, long overlapLimitMs, long gapLimitMs)
      throws InvalidRecordException {
    AddressOwnershipJudge judge =
        new AddressOwnershipJudge(1000 * intervalMs, 1000 * overlapLimitMs, 1000 * gapLimitMs);
    long number = 0;
    for (String line : lines) {
      number++;
      try {
        judge.add(JSON.readTree(line));
      } catch (JacksonException e) {
        throw new InvalidRecordException(number, "not JSON");
      }
    }
    return judge.outcome;
  }

  private void add(JsonNode event) {
    long at = event.path("at").asLong();
    switch (event.path("what").asText()) {
      case "pair-trouble" -> faultFree = false;
      case "pair-quiet" -> {
        faultFree = true;
        faultFreeSince = at;
        lastByVrid.replaceAll((v, t) -> at);
      }
      case "front-stopped" -> stoppedAt.put(event.path("front").asLong(), at);
      case "front-continued" -> resumedAt.put(event.path("front").asLong(), at);
      case "announced" ->
          onAnnouncement(event.path("vrid").asLong(), event.path("node").asLong(), at);
      case "answered" ->
          onAnswer(
              event.path("ask").asText(),
              event.path("viewing").asText(""),
              event.path("front").asLong());
      case "advert" -> {
        if (event.path("priority").asInt() > 0) {
          onClaim(event.path("vrid").asLong(), event.path("node").asLong(), at);
        }
      }
      default -> {}
    }
  }

  private void onAnnouncement(long vrid, long node, long at) {
    Long previous = ownerByVrid.put(vrid, node);
    if (previous != null && previous != node) {
      outcome.handovers++;
      outcome.handoversAt.computeIfAbsent(vrid, v -> new ArrayList<>()).add(at);
    }
  }

  /** The id of a viewing begins with the number of its front. */
  private void onAnswer(String request, String viewing, long front) {
    if (answers.add(request)) {
      outcome.answered++;
    } else {
      outcome.answeredTwice++;
    }
    outcome.answeredByOther += viewing.contains("-") && !viewing.startsWith(front + "-") ? 1 : 0;
  }

  private void onClaim(long vrid, long node, long at) {
    checkAfterResume(vrid, node, at);
    Claim claim = claims.computeIfAbsent(vrid + "/" + node, k -> new Claim());
    if (at - claim.last > 3 * interval) {
      claim.since = at;
    }
    claim.last = at;
    Long last = lastByVrid.put(vrid, at);
    if (!faultFree) {
      return;
    }
    outcome.claims++;
    if (last != null) {
      outcome.gaps++;
      long gap = at - Math.max(last, faultFreeSince);
      outcome.longestGapMicros = Math.max(outcome.longestGapMicros, gap);
      if (gap > gapLimit) {
        outcome.breaches.add(
            at + " address " + vrid + ": nobody claimed it for " + gap / 1000 + " ms");
      }
    }
    claims.forEach(
        (key, other) -> {
          if (other != claim && key.startsWith(vrid + "/") && other.last >= claim.since) {
            long overlap =
                other.last - Math.max(Math.max(claim.since, other.since), faultFreeSince);
            outcome.longestOverlapMicros = Math.max(outcome.longestOverlapMicros, overlap);
            if (overlap > overlapLimit) {
              outcome.breaches.add(
                  at
                      + " address "
                      + vrid
                      + ": claimed by "
                      + key.substring(key.indexOf('/') + 1)
                      + " and "
                      + node
                      + " for "
                      + overlap / 1000
                      + " ms");
            }
          }
        });
  }

  /**
   * Checks a claim of a node that was paused for more than four intervals while another node took
   * the address: the node must step down first, so it may not advertise the address within two
   * intervals of resuming.
   */
  private void checkAfterResume(long vrid, long node, long at) {
    Long resumed = resumedAt.get(node);
    Long stopped = stoppedAt.get(node);
    if (resumed == null || stopped == null) {
      return;
    }
    boolean ownedByOther = ownerByVrid.getOrDefault(vrid, node) != node;
    if (resumed - stopped > 4 * interval && at - resumed < 2 * interval && ownedByOther) {
      outcome.breaches.add(
          at
              + " address "
              + vrid
              + ": node "
              + node
              + " claimed it "
              + (at - resumed) / 1000
              + " ms after it woke, and another has it");
    }
    if (at - resumed >= 2 * interval) {
      outcome.resumedNodes++;
      resumedAt.remove(node);
    }
  }
}
