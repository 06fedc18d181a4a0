package io.samphiredyke.daemon.testing;

import io.samphiredyke.core.config.Customer;
import io.samphiredyke.core.config.DataCentre;
import io.samphiredyke.core.config.Endpoint;
import io.samphiredyke.core.config.EndpointKind;
import io.samphiredyke.core.config.Service;
import io.samphiredyke.core.config.ServiceKind;
import io.samphiredyke.core.config.Tier;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Set;

/** Creates the items of a small configuration: a model service, a plain service, two customers. */
public final class TestConfiguration {

  /** The name of the model that the engines serve. */
  public static final String MODEL = "model";

  /** The name of the model service. */
  public static final String CHAT = "chat";

  /** The name of the plain service. */
  public static final String FILING = "filing";

  /** A customer whose key is {@code key-alpha}. */
  public static final String ALPHA = "alpha";

  /** A customer whose key is {@code key-beta}. */
  public static final String BETA = "beta";

  private static final String TIER = "standard";

  private TestConfiguration() {}

  /** Returns the bearer key of a customer. */
  public static String keyOf(String customer) {
    return "key-" + customer;
  }

  static DataCentre dataCentre(String name) {
    return DataCentre.builder().name(name).region("region1").build();
  }

  static Tier tier() {
    return Tier.builder().name(TIER).rank(1).build();
  }

  /** Returns the builder of a customer with its key. */
  public static Customer.Builder customer(String name) {
    return Customer.builder().name(name).keyDigests(Set.of(digest(keyOf(name))));
  }

  static Service chat(Set<String> dataCentres) {
    return modelService(CHAT, MODEL, dataCentres);
  }

  /** Returns a model service. */
  public static Service modelService(String name, String model, Set<String> dataCentres) {
    return Service.builder()
        .name(name)
        .kind(ServiceKind.MODEL)
        .model(model)
        .tier(TIER)
        .idempotent(true)
        .dataCentres(dataCentres)
        .build();
  }

  static Service filing(Set<String> dataCentres) {
    return Service.builder()
        .name(FILING)
        .kind(ServiceKind.PLAIN)
        .tier(TIER)
        .dataCentres(dataCentres)
        .build();
  }

  /** Returns an engine that serves {@link #MODEL}. */
  public static Endpoint engine(String name, String address, String dataCentre) {
    return engine(name, address, dataCentre, MODEL);
  }

  /** Returns an engine that serves a model. */
  public static Endpoint engine(String name, String address, String dataCentre, String model) {
    return Endpoint.builder()
        .name(name)
        .kind(EndpointKind.MODEL_ENGINE)
        .address(address)
        .dataCentre(dataCentre)
        .models(Set.of(model))
        .build();
  }

  static Endpoint plainEndpoint(String name, String address, String dataCentre) {
    return Endpoint.builder()
        .name(name)
        .kind(EndpointKind.PLAIN_SERVICE)
        .address(address)
        .dataCentre(dataCentre)
        .services(Set.of(FILING))
        .build();
  }

  private static String digest(String key) {
    try {
      MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(sha256.digest(key.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }
}
