package linengauge.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import linengauge.Headend;
import linengauge.PackageTerms;
import linengauge.Span;

/**
 * What a front is told at its start, in the simulator's names and units, read once; what nobody
 * asks for is dropped. Names of packages, buildings and kinds are for carriers that hear names
 * where the simulator gives numbers.
 */
public record Settings(
    Headend deployment,
    List<String> packageNames,
    List<String> buildingNames,
    List<String> kindNames,
    Span dialTimeout,
    Span idleCloseAfter,
    Span longestTimeLimit) {

  /** Throws where a value has the wrong type; absent ones mean none. */
  public static Settings read(Map<?, ?> conf) throws InvalidSettingsException {
    Map<?, ?> limits = map(conf, "policyLimits");
    Span patience = Span.NONE;
    List<String> packages = new ArrayList<>();
    if (conf.get("requestClasses") instanceof List<?> classes) {
      for (Object one : classes) {
        if (one instanceof Map<?, ?> c) {
          packages.add(String.valueOf(c.get("name")));
          patience = patience.orMore(span(c, "deadlineUs"));
        }
      }
    }
    return new Settings(
        deployment(conf),
        List.copyOf(packages),
        names(conf, "localities"),
        names(conf, "kinds"),
        span(limits, "dialTimeoutUs"),
        span(limits, "idleCloseUs"),
        patience);
  }

  private static List<String> names(Map<?, ?> from, String key) {
    List<String> names = new ArrayList<>();
    if (from.get(key) instanceof List<?> list) {
      list.forEach(one -> names.add(String.valueOf(one)));
    }
    return List.copyOf(names);
  }

  private static Headend deployment(Map<?, ?> conf) throws InvalidSettingsException {
    Map<?, ?> domain = map(conf, "domain");
    Map<?, ?> limits = map(conf, "policyLimits");
    Map<?, ?> rules = map(conf, "guarantees");
    Map<?, ?> charges = map(conf, "charges");
    Map<?, ?> loads = map(conf, "loadReport");
    double[] ladder = numbers(domain, "ladderKb");
    double[] rates = numbers(domain, "rateFactor");
    double[] floors = numbers(domain, "floorByClass");
    double[] tops = numbers(domain, "highestRung");
    double[] seats = numbers(domain, "licenceCap");
    List<PackageTerms> packages = new ArrayList<>();
    if (!(conf.get("requestClasses") instanceof List<?> classes)) {
      throw new InvalidSettingsException("conf: 'requestClasses' should be a list");
    }
    for (Object one : classes) {
      if (!(one instanceof Map<?, ?> c)) {
        throw new InvalidSettingsException("conf: a request class should be an object");
      }
      int i = packages.size();
      packages.add(
          new PackageTerms(
              number(c, "worth", 1),
              span(c, "aimUs"),
              at(rates, i, 1),
              (int) at(floors, i, 0),
              (int) Math.min(at(tops, i, ladder.length - 1), ladder.length - 1),
              (int) at(seats, i, 0),
              !"safe".equals(c.get("idempotency"))));
    }
    boolean sized = !"silent".equals(conf.get("weights"));
    var fleet =
        new Headend.Fleet(
            (int) number(domain, "places", 1),
            (int) Math.max(1, number(domain, "shelves", 1)),
            whole(numbers(domain, "placesByKind")),
            number(domain, "linksKb", 0),
            sized ? number(domain, "weightKb", 0) : 0,
            number(domain, "uplinkKb", 0),
            span(domain, "seeUs"));
    var figures =
        new Headend.Rules(
            span(rules, "coldUs"),
            number(rules, "startCapacity", 1),
            number(rules, "fallMultiple", 1),
            span(rules, "tipAfterUs"),
            number(rules, "freeResends", 0),
            number(rules, "furtherRatio", 0),
            span(rules, "ratioSpanUs"));
    boolean uplink = loads.get("fields") instanceof List<?> fields && fields.contains("x1");
    boolean advice = !Boolean.FALSE.equals(limits.get("retryAfter"));
    var permits =
        new Headend.Permits(
            (int) number(limits, "maxAttempts", 1),
            Boolean.TRUE.equals(limits.get("peers")),
            Boolean.TRUE.equals(limits.get("probing")),
            uplink,
            number(charges, "probe", 0),
            number(charges, "crossZone", 0),
            number(charges, "handshake", 0),
            advice ? span(limits, "maxRetryAfterUs") : Span.NONE);
    return new Headend(
        (int) Math.max(1, number(conf, "balancers", 1)),
        (int) number(conf, "me", 0),
        (int) number(conf, "zone", 0),
        List.copyOf(packages),
        ladder,
        numbers(domain, "worthByRung"),
        fleet,
        figures,
        permits);
  }

  private static Map<?, ?> map(Map<?, ?> from, String key) {
    return from.get(key) instanceof Map<?, ?> m ? m : Map.of();
  }

  private static double number(Map<?, ?> from, String key, double absent)
      throws InvalidSettingsException {
    Object v = from.get(key);
    if (v == null) {
      return absent;
    }
    if (v instanceof Double d) {
      return d;
    }
    throw new InvalidSettingsException("conf: '" + key + "' should be a number");
  }

  private static Span span(Map<?, ?> from, String key) throws InvalidSettingsException {
    return new Span(Math.round(number(from, key, 0)));
  }

  private static double at(double[] values, int i, double absent) {
    return i < values.length ? values[i] : absent;
  }

  private static double[] numbers(Map<?, ?> from, String key) throws InvalidSettingsException {
    if (!(from.get(key) instanceof List<?> list)) {
      return new double[0];
    }
    double[] values = new double[list.size()];
    for (int i = 0; i < values.length; i++) {
      if (!(list.get(i) instanceof Double d)) {
        throw new InvalidSettingsException("conf: '" + key + "' should hold numbers");
      }
      values[i] = d;
    }
    return values;
  }

  private static int[] whole(double[] values) {
    int[] whole = new int[values.length];
    for (int i = 0; i < whole.length; i++) {
      whole[i] = (int) values[i];
    }
    return whole;
  }
}
