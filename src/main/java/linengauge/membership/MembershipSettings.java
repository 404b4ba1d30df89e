package linengauge.membership;

import linengauge.Span;

/**
 * What members go by. The names of the papers in brackets: SWIM (Das, Gupta, Motivala 2002),
 * Lifeguard (Dadgar, Phillips, Currey 2017).
 *
 * @param period between two pings of this front's own (T')
 * @param answer how long the direct ping may take; the helpers' have the rest of the period
 * @param helpers fronts asked to ping in this one's place (k)
 * @param suspicion times log10 of the fleet, times the period: how long a suspected member has to
 *     speak at the least (alpha)
 * @param longest times that at the most, while nobody else suspects it (beta)
 * @param confirmed by so many others, it is the least (K)
 * @param healthMost how often the period and the answer may be lengthened while this front itself
 *     is slow (S)
 * @param retellings times log2 of the fleet: how often each piece of news is sent on (lambda)
 * @param deadKept how long a member that is gone is remembered, and called on now and then
 * @param regather between two calls on one that is gone or has never answered; NONE: never
 * @param most members at the most; further ones are not heard of
 */
public record MembershipSettings(
    Span period,
    Span answer,
    int helpers,
    double suspicion,
    double longest,
    int confirmed,
    int healthMost,
    double retellings,
    Span deadKept,
    Span regather,
    int most) {
  /** Fit for some hundreds of fronts in a few buildings. */
  public static final MembershipSettings DEFAULT =
      new MembershipSettings(
          Span.ofMillis(1000),
          Span.ofMillis(300),
          3,
          4,
          6,
          3,
          8,
          4,
          Span.ofSeconds(600),
          Span.ofSeconds(5),
          1024);

  /** The same with another period, and what goes by it in proportion. */
  public MembershipSettings withPeriod(Span each) {
    double scale = each.seconds() / period.seconds();
    return new MembershipSettings(
        each,
        answer.times(scale),
        helpers,
        suspicion,
        longest,
        confirmed,
        healthMost,
        retellings,
        deadKept,
        regather.times(scale),
        most);
  }
}
