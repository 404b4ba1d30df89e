package linengauge.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import linengauge.Moment;
import linengauge.Span;
import linengauge.membership.Datagram.Kind;

/**
 * Calls on members that are gone or were never heard, and evens out what two members hold, page by
 * page (anti-entropy). Not in the papers.
 */
final class Reconnection {
  private static final int MOST_PAGES = 32;

  private final MembershipSettings settings;
  private final OwnMember own;
  private final List<String> seeds;
  private final MemberTable table;
  private final Dissemination dissemination;
  private final SplittableRandom random;
  private Moment nextAt;
  private int pagesSent;
  private int pageFrom;
  private int requested;

  /**
   * @param seeds addresses to begin with, and to turn to when nobody is there
   */
  Reconnection(
      MembershipSettings settings,
      OwnMember own,
      List<String> seeds,
      MemberTable table,
      Dissemination dissemination,
      SplittableRandom random) {
    this.settings = settings;
    this.own = own;
    this.seeds = seeds.stream().filter(s -> !s.equals(own.address())).toList();
    this.table = table;
    this.dissemination = dissemination;
    this.random = random;
  }

  /** The moment at which it wants to be stepped, at the latest. */
  Moment next() {
    return nextAt;
  }

  void setNext(Moment at) {
    nextAt = at;
  }

  /** A new period's pages may be sent. */
  void startPeriod() {
    pagesSent = 0;
  }

  /**
   * Calls on one that is gone or has never been heard, and asks one that is there for a page of
   * what it holds. Guards against two halves of the fleet that were cut apart and have each given
   * the other up: without it nobody would call across again. It could hurt where many are gone for
   * good: one datagram each such time, until they are forgotten.
   */
  void step(Moment now) {
    if (!Span.NONE.under(settings.regather())) {
      nextAt = now.plus(settings.deadKept());
      return;
    }
    List<MemberEntry> there = table.sampleAlive(1, MemberTable.NOBODY);
    nextAt = now.plus(there.isEmpty() ? settings.period() : settings.regather());
    List<String> away = addressesAway();
    if (!away.isEmpty()) {
      String to = away.get(random.nextInt(away.size()));
      call(to);
      if (there.isEmpty()) {
        requestPage(to);
      }
    }
    if (!there.isEmpty()) {
      requestPage(there.get(0).address());
    }
  }

  /** Of members held for dead, and of seeds that no known member has. */
  private List<String> addressesAway() {
    List<String> away = new ArrayList<>();
    table.all().stream().filter(e -> e.is(MemberState.DEAD)).forEach(e -> away.add(e.address()));
    seeds.stream()
        .filter(seed -> table.all().stream().noneMatch(e -> e.address().equals(seed)))
        .forEach(away::add);
    return away;
  }

  /** A ping that says what is held of whoever is there, so that it can deny it. */
  private void call(String to) {
    List<MemberUpdate> first = new ArrayList<>(List.of(own.update()));
    table.all().stream().filter(e -> e.address().equals(to)).forEach(e -> first.add(e.update()));
    dissemination.send(Kind.PING, to, dissemination.nextSequence(), 0, first);
  }

  private void requestPage(String from) {
    requested = dissemination.nextSequence();
    dissemination.send(Kind.PULL, from, requested, pageFrom, List.of(own.update()));
  }

  /** A page that was asked for: the next one follows until there are no more. */
  void onPage(String address, Datagram datagram) {
    if (datagram.sequence() != requested) {
      return;
    }
    pageFrom = Math.max(0, datagram.argument());
    if (datagram.argument() > 0) {
      requestPage(address);
    }
  }

  /** Another asks for what is held here, from a member's number on. */
  void onPageRequest(String asker, Datagram datagram) {
    List<MemberUpdate> all = new ArrayList<>(table.updates());
    all.add(own.update());
    all.sort(Comparator.comparingInt(u -> u.member().number()));
    List<MemberUpdate> page = new ArrayList<>();
    int room = Datagram.maxUpdateBytes();
    int next = -1;
    for (MemberUpdate update : all) {
      if (update.member().number() < datagram.argument()) {
        continue;
      }
      room -= Datagram.encodedSize(update);
      if (room < 0) {
        next = update.member().number();
        break;
      }
      page.add(update);
    }
    pagesSent++;
    if (pagesSent <= MOST_PAGES) {
      dissemination.sendBare(Kind.PAGE, asker, datagram.sequence(), next, page);
    }
  }
}
