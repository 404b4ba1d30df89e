package linengauge.membership;

import linengauge.Span;

/**
 * Settings of the membership protocol. Parentheses give the symbols of the papers: SWIM (Das,
 * Gupta, Motivala 2002) and Lifeguard (Dadgar, Phillips, Currey 2017).
 *
 * @param period time between two probes of this front (T')
 * @param answer timeout of a direct ping; indirect probes have the rest of the period
 * @param helpers number of members asked for an indirect probe (k)
 * @param suspicion factor of the minimum suspicion timeout, which is this times log10 of the fleet
 *     size times the period (alpha)
 * @param longest maximum suspicion timeout as a multiple of the minimum; it applies while no other
 *     front confirms the suspicion (beta)
 * @param confirmed number of confirmations that shorten the suspicion timeout to its minimum (K)
 * @param healthMost maximum local health score, which limits how far timeouts are scaled (S)
 * @param retellings transmissions of each update, as a multiple of log2 of the fleet size (lambda)
 * @param deadKept how long an absent member is remembered; a dead one is contacted until then
 * @param regather time between two attempts to contact a dead member or unreached seed; NONE
 *     disables them
 * @param most maximum number of other members; further ones are rejected
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
  /** Settings for a few hundred fronts in a few buildings. */
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

  /** Returns these settings with another period; timeouts that depend on it scale in proportion. */
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
